"""Simulated time: calls in the order of their times, and of their making where these are equal."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import Any, Protocol

import numpy as np


class Clock(Protocol):
    """Calls at times, s since the start of the day."""

    events: int
    stopped: bool

    @property
    def now(self) -> float:
        """The time."""

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` at a time."""

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` after `delay` s."""


class Kernel:
    """The simulated clock and the calls that are scheduled.

    Attributes:
        now: s since the start of the day.
        events: calls that were made.
        stopped: ends the play after the present call.
    """

    def __init__(self) -> None:
        self.now: float = 0.0
        self.events = 0
        self.stopped = False
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules `call(*args)` for the time `when`, for now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, call, args))

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules `call(*args)` for `delay` s from now."""
        self.at(self.now + delay, call, *args)

    def run(self, end: float) -> None:
        """Plays until `end` (s), until nothing is left, or until `stopped` is set."""
        heap = self._heap
        pop = heapq.heappop
        while heap and heap[0][0] <= end and not self.stopped:
            self.now, _, call, args = pop(heap)
            self.events += 1
            call(*args)
        if not self.stopped:
            self.now = end

    def pending(self) -> int:
        """How many calls are scheduled."""
        return len(self._heap)


class RandomStream:
    """One stream of random numbers, drawn in blocks."""

    BLOCK_SIZE = 2048  # numbers drawn at once

    def __init__(self, seed: np.random.SeedSequence) -> None:
        self._rng = np.random.Generator(np.random.PCG64(seed))
        self._uniforms = self._blocks(self._rng.random)
        self._normals = self._blocks(self._rng.standard_normal)
        self._exponentials = self._blocks(self._rng.standard_exponential)

    def _blocks(self, draw: Callable[[int], Any]) -> Iterator[float]:
        while True:
            yield from draw(self.BLOCK_SIZE).tolist()

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """A number evenly between two."""
        return low + (high - low) * next(self._uniforms)

    def exponential(self, mean: float = 1.0) -> float:
        """An exponential number of this mean."""
        return mean * next(self._exponentials)

    def lognormal(self, mean: float, cv: float) -> float:
        """A lognormal number; its mean and `cv` (deviation over mean) are its own, not those of its logarithm."""
        sigma = np.log1p(cv * cv) ** 0.5
        return float(mean * np.exp(sigma * next(self._normals) - sigma * sigma / 2))

    def integer_below(self, count: int) -> int:
        """A whole number from 0 to below `count`."""
        return int(next(self._uniforms) * count)

    def chance(self, share: float) -> bool:
        """Whether something of this probability happens."""
        return share > 0 and next(self._uniforms) < share

    def sample(self, count: int, most: int) -> list[int]:
        """`most` different numbers below `count`, in order."""
        return sorted(int(n) for n in self._rng.permutation(count)[:most])


def random_streams(seed: int, names: tuple[str, ...]) -> dict[str, RandomStream]:
    """One stream for each name; a further name at the end changes none of those before it."""
    return {
        name: RandomStream(child)
        for name, child in zip(names, np.random.SeedSequence(seed).spawn(len(names)), strict=True)
    }
