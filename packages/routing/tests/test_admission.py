"""Test admission at the entry."""

from peridot_routing.admission import MIN_REQUESTS, Admission


class Clock:
    """Tell a time that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def run_window(admission, clock, overloaded, classes=(1, 5, 8)):
    """Offer a window's requests; return which classes were admitted."""
    admitted = set()
    for number in range(3 * MIN_REQUESTS):
        priority = classes[number % len(classes)]
        if admission.admits(priority):
            admitted.add(priority)
            admission.note(overloaded)
    clock.now += 1.01
    return admitted


def test_lowest_class_is_refused_first_and_the_highest_never():
    clock = Clock()
    admission = Admission(clock)
    seen = [run_window(admission, clock, overloaded=True) for _ in range(6)]
    assert seen[0] == {1, 5, 8}
    assert {5, 8} in seen
    assert seen[-1] == {8}


def test_classes_come_back_one_by_one_when_there_is_room():
    clock = Clock()
    admission = Admission(clock)
    for _ in range(6):
        run_window(admission, clock, overloaded=True)
    seen = [run_window(admission, clock, overloaded=False) for _ in range(6)]
    assert seen[-1] == {1, 5, 8}
    assert {5, 8} in seen


def test_service_with_one_class_is_never_refused():
    clock = Clock()
    admission = Admission(clock)
    for _ in range(6):
        assert run_window(admission, clock, True, classes=(5,)) == {5}


def test_few_refusals_move_nothing():
    clock = Clock()
    admission = Admission(clock)
    for _ in range(20):
        assert admission.admits(1)
        admission.note(overloaded=True)
        clock.now += 0.3
    assert admission.level <= 1
