"""Heavy-tailed completion lengths that are a property of the sample slot.

The same prompt and seed give the same length on every engine, in every version and after
every resume, so that schedulers can be compared on equal work.
"""

import math
import random

import xxhash

from merlinstand_lab.standins.settings import LengthSettings


def completion_length(prompt: str, seed: int, settings: LengthSettings) -> int:
    """Return how many tokens a slot's completion has when nothing limits it.

    Args:
        prompt: Prompt text.
        seed: The request's seed (the attempt).
        settings: Shape of the distribution.
    """
    generator = random.Random(xxhash.xxh3_64_intdigest(prompt.encode(), seed=seed & 0xFFFFFFFF))
    if generator.random() < settings.tail_probability:
        scale = settings.median_tokens * settings.tail_scale
        length = scale * generator.paretovariate(settings.tail_shape)
    else:
        length = generator.lognormvariate(math.log(settings.median_tokens), settings.sigma)
    return max(1, round(length))


def prompt_token_count(prompt: str) -> int:
    """Return the number of tokens of a prompt (about four characters each)."""
    return max(1, len(prompt) // 4)
