"""The throttle, compared with the two-buffer model of Berger and Whitt, section 2."""

from hypothesis import given
from hypothesis import strategies as st

from hazellead.decide.dispatcher import Throttle

EVENTS = st.lists(st.sampled_from([0, 1, 2, 3]), max_size=200)  # 0: a token; k: a job of k slots


class TwoBuffers:
    """The model: separate token bank and job buffer; a job of k slots enters whole or overflows."""

    def __init__(self, bank: int, buffer: int, tokens: int) -> None:
        self.bank, self.buffer, self.tokens, self.jobs = bank, buffer, tokens, 0

    def token(self) -> int:
        if self.jobs:
            self.jobs -= 1
        elif self.tokens < self.bank:
            self.tokens += 1
        else:
            return 1
        return 0

    def job(self, slots: int) -> bool:
        if self.tokens + self.buffer - self.jobs < slots:
            return False
        paid = min(self.tokens, slots)
        self.tokens -= paid
        self.jobs += slots - paid
        return True


@given(st.integers(0, 8), st.integers(0, 8), st.integers(0, 8), EVENTS)
def test_one_counter_equals_two_buffers(bank: int, buffer: int, tokens: int, events: list[int]) -> None:
    tokens = min(tokens, bank)
    model, throttle = TwoBuffers(bank, buffer, tokens), Throttle(bank, buffer, buffer + tokens)
    for k in events:
        if k:
            assert throttle.offer(k) == model.job(k)
        else:
            assert throttle.add() == model.token()
        assert (throttle.tokens, throttle.waiting) == (model.tokens, model.jobs)


@given(st.integers(0, 8), st.integers(0, 8), st.integers(0, 16), EVENTS)
def test_overflow_depends_only_on_the_sum(bank: int, buffer: int, level: int, events: list[int]) -> None:
    one, other = Throttle(bank, buffer, level), Throttle(bank + buffer, 0, level)
    for k in events:
        if k:
            assert one.offer(k) == other.offer(k)
        else:
            assert one.add() == other.add()
        assert one.level == other.level


def test_resize_keeps_tokens_and_buffered_jobs() -> None:
    throttle = Throttle(4, 3, 1)
    throttle.resize(8, 1)
    assert (throttle.tokens, throttle.waiting) == (0, 2)
    throttle = Throttle(4, 3, 7)
    throttle.resize(2, 5)
    assert (throttle.tokens, throttle.waiting) == (2, 0)
