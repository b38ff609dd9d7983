"""Simulated time and random streams.  Calls run in the order of their times, equal times in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import Any, Protocol

import numpy as np


class Clock(Protocol):
    """A scheduler of calls, in seconds since the start of the run.

    Attributes:
        events: The number of calls that were made.
        stopped: Whether the run ends after the current call.
    """

    events: int
    stopped: bool

    @property
    def now(self) -> float:
        """The current time (s)."""

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for the time `when` (s)."""

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for `delay` s from now."""


class Kernel:
    """The simulated clock and its scheduled calls.

    Attributes:
        now: The simulated time in seconds since the start of the run.
        events: The number of calls that were made.
        stopped: Whether the run ends after the current call.
    """

    def __init__(self) -> None:
        self.now: float = 0.0
        self.events = 0
        self.stopped = False
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for the time `when` (s), or for now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, call, args))

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for `delay` seconds from now."""
        self.at(self.now + delay, call, *args)

    def run(self, end: float) -> None:
        """Make the scheduled calls until the time `end` (s), until none is left, or until `stopped` is set."""
        heap = self._heap
        pop = heapq.heappop
        while heap and heap[0][0] <= end and not self.stopped:
            self.now, _, call, args = pop(heap)
            self.events += 1
            call(*args)
        if not self.stopped:
            self.now = end

    def pending(self) -> int:
        """Return the number of scheduled calls."""
        return len(self._heap)


class RandomStream:
    """A stream of random numbers, drawn in blocks for speed."""

    BLOCK_SIZE = 2048

    def __init__(self, seed: np.random.SeedSequence) -> None:
        self._rng = np.random.Generator(np.random.PCG64(seed))
        self._uniforms = self._blocks(self._rng.random)
        self._normals = self._blocks(self._rng.standard_normal)
        self._exponentials = self._blocks(self._rng.standard_exponential)

    def _blocks(self, draw: Callable[[int], Any]) -> Iterator[float]:
        while True:
            yield from draw(self.BLOCK_SIZE).tolist()

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Draw from the uniform distribution between `low` and `high`."""
        return low + (high - low) * next(self._uniforms)

    def exponential(self, mean: float = 1.0) -> float:
        """Draw from the exponential distribution with a mean."""
        return mean * next(self._exponentials)

    def lognormal(self, mean: float, cv: float) -> float:
        """Draw from a lognormal distribution.

        Args:
            mean: The mean of the distribution, not of its logarithm.
            cv: The coefficient of variation of the distribution.
        """
        sigma = np.log1p(cv * cv) ** 0.5
        return float(mean * np.exp(sigma * next(self._normals) - sigma * sigma / 2))

    def integer_below(self, count: int) -> int:
        """Draw an integer from 0 up to, but not including, `count`."""
        return int(next(self._uniforms) * count)

    def chance(self, probability: float) -> bool:
        """Draw whether an event of this probability happens; a probability of 0 draws no number."""
        return probability > 0 and next(self._uniforms) < probability

    def sample(self, count: int, size: int) -> list[int]:
        """Draw `size` different integers below `count`, in ascending order."""
        return sorted(int(number) for number in self._rng.permutation(count)[:size])


def random_streams(seed: int, names: tuple[str, ...]) -> dict[str, RandomStream]:
    """Create a stream for each name; a name appended to the end changes no stream before it."""
    return {
        name: RandomStream(child)
        for name, child in zip(names, np.random.SeedSequence(seed).spawn(len(names)), strict=True)
    }
