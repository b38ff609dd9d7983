"""The base of the tables of an experiment file, and the types of their values."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Ratio = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=1, le=100_000)]
NonNegativeCount = Annotated[int, Field(ge=0, le=100_000)]
Range = tuple[NonNegative, NonNegative]


class Table(BaseModel):
    """A table of the experiment file, which rejects unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)
