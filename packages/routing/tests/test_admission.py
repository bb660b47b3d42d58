"""Test priority admission, which sheds the lowest classes of an overloaded service."""

from peridot_routing.admission import MIN_REQUESTS, PriorityAdmission


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def run_window(admission, clock, overloaded, classes=(1, 5, 8)):
    """Send a window's requests; return the priorities that were admitted."""
    admitted = set()
    for number in range(3 * MIN_REQUESTS):
        priority = classes[number % len(classes)]
        if admission.admits(priority):
            admitted.add(priority)
            admission.record(overloaded)
    clock.now += 1.01
    return admitted


def test_overload_sheds_the_lowest_class_first_and_never_the_highest():
    clock = Clock()
    admission = PriorityAdmission(clock)
    windows = [run_window(admission, clock, overloaded=True) for _ in range(6)]
    assert windows[0] == {1, 5, 8}
    assert {5, 8} in windows
    assert windows[-1] == {8}


def test_classes_are_admitted_again_one_by_one_after_overload():
    clock = Clock()
    admission = PriorityAdmission(clock)
    for _ in range(6):
        run_window(admission, clock, overloaded=True)
    windows = [run_window(admission, clock, overloaded=False) for _ in range(6)]
    assert windows[-1] == {1, 5, 8}
    assert {5, 8} in windows


def overloaded_admission(clock):
    """Return an admission of which overload has left only class 8."""
    admission = PriorityAdmission(clock)
    for _ in range(6):
        run_window(admission, clock, overloaded=True)
    assert not admission.admits(5)
    return admission


# Guards against a class that is refused for ever: without requests of the classes above
# it, no window had enough admitted requests to count.
def test_lower_class_is_admitted_again_though_no_higher_one_sends_requests():
    clock = Clock()
    admission = overloaded_admission(clock)
    started_at = clock.now
    while not admission.admits(1):
        assert clock.now - started_at < 5.0
        clock.now += 0.01


# Guards against a class that is let in on the little that is known of the ones above.
def test_lower_class_stays_out_while_the_few_requests_above_it_meet_overload():
    clock = Clock()
    admission = overloaded_admission(clock)
    for number in range(1000):
        assert not admission.admits(1)
        if number % 20 == 0 and admission.admits(8):
            admission.record(overloaded=True)
        clock.now += 0.01


def test_service_with_one_class_is_always_admitted():
    clock = Clock()
    admission = PriorityAdmission(clock)
    for _ in range(6):
        assert run_window(admission, clock, True, classes=(5,)) == {5}


def test_few_overloaded_requests_shed_nothing():
    clock = Clock()
    admission = PriorityAdmission(clock)
    for _ in range(20):
        assert admission.admits(1)
        admission.record(overloaded=True)
        clock.now += 0.3
    assert admission.min_priority <= 1
