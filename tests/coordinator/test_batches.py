"""Batches are committed before they are sent, contain each sample once, and respect the staleness
bound.
"""

import pytest

from merlinstand.configuration.objects import JobMode, JobPhase, PolicySource
from tests.coordinator.driver import CoordinatorDriver, make_job
from tests.coordinator.scripted_control import Control


def test_a_batch_is_committed_before_it_is_sent() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    name = driver.ask(0, "n1")
    assert driver.answer_to(name) is None
    driver.settle()
    batch = driver.batch_of(name)
    assert batch["batch"] == 1
    assert batch["nonce"] == "n1"
    committed = driver.control.committed[0]
    assert [s.sample_id for s in committed.samples] == [s["sample_id"] for s in batch["samples"]]


def test_samples_list_the_versions_of_their_chunks() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    for stream in driver.open_streams():
        driver.chunk(stream, 5, 1)
    driver.publish(2)
    driver.serve_all(2)
    for stream in driver.open_streams():
        driver.chunk(stream, 7, 2)
        driver.end(stream)
    driver.settle()
    name = driver.ask(0, "n1")
    driver.settle()
    for sample in driver.batch_of(name)["samples"]:
        assert sample["weight_versions"] == [[1, 0, 5], [2, 5, 12]]
        assert sample["text"] == "[0-5@1][5-12@2]"


def test_redelivery_under_a_new_nonce_voids_the_first_attempt() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    driver.ask(0, "n1")
    driver.settle()
    second = driver.ask(0, "n2")
    driver.settle()
    again = driver.batch_of(second)
    assert again["batch"] == 1
    assert again["nonce"] == "n2"
    driver.generate()
    third = driver.ask(1, "n3", last_nonce="n2")
    driver.settle()
    delivered = {s["sample_id"] for s in again["samples"]}
    following = {s["sample_id"] for s in driver.batch_of(third)["samples"]}
    assert delivered.isdisjoint(following)


def test_the_same_nonce_again_gets_the_same_samples() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    first = driver.ask(0, "n1")
    driver.settle()
    second = driver.ask(0, "n1")
    driver.settle()
    assert driver.batch_of(first)["samples"] == driver.batch_of(second)["samples"]


def test_the_same_nonce_with_expired_samples_needs_a_new_nonce() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    driver.ask(0, "n1")
    driver.settle()
    driver.publish(4)
    second = driver.ask(0, "n1")
    driver.settle()
    answer = driver.answer_to(second)
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (409, "nonce_used")


def test_redelivery_checks_staleness_again() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    driver.ask(0, "n1")
    driver.settle()
    driver.publish(4)
    driver.serve_all(4)
    second = driver.ask(0, "n2")
    driver.generate()
    batch = driver.batch_of(second)
    oldest = min(span[0] for s in batch["samples"] for span in s["weight_versions"])
    assert batch["newest_version"] - oldest <= 2


def test_a_trainer_behind_the_ledger_is_refused() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    driver.ask(0, "n1")
    driver.settle()
    driver.generate()
    driver.ask(1, "n2")
    driver.settle()
    behind = driver.ask(0, "n3")
    driver.settle()
    answer = driver.answer_to(behind)
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (409, "rewound")


def test_a_trainer_ahead_of_the_ledger_is_refused() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    ahead = driver.ask(5, "n1")
    driver.settle()
    answer = driver.answer_to(ahead)
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (409, "ahead")


def test_a_request_for_an_unready_batch_is_held_and_then_refused() -> None:
    driver = CoordinatorDriver()
    name = driver.ask(0, "n1")
    driver.tick()
    assert driver.answer_to(name) is None
    driver.tick(6.0)
    answer = driver.answer_to(name)
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (202, "not_ready")


def test_only_the_newest_request_of_a_consumer_gets_a_batch() -> None:
    driver = CoordinatorDriver()
    first = driver.ask(0, "n1")
    second = driver.ask(0, "n2")
    driver.generate()
    answer = driver.answer_to(first)
    assert answer is not None
    assert answer[1]["code"] == "superseded"
    assert driver.batch_of(second)["nonce"] == "n2"


def test_a_commit_whose_trainer_disconnected_stays_open_without_a_response() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    name = driver.ask(0, "n1")
    driver.abort(name)
    driver.settle()
    assert driver.answer_to(name) is None
    again = driver.ask(0, "n2")
    driver.settle()
    assert driver.batch_of(again)["batch"] == 1


def test_a_refused_stale_batch_releases_its_samples() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    driver.control.newest = 9  # Published, but not yet in this coordinator's configuration.
    name = driver.ask(0, "n1", version=1)
    driver.settle()
    answer = driver.answer_to(name)
    assert answer is not None
    assert answer[0] == 202
    assert driver.control.committed == []


def test_two_consumers_never_share_a_sample() -> None:
    driver = CoordinatorDriver(make_job(consumers=("trainer-1", "trainer-2")))
    driver.generate()
    one = driver.ask(0, "n1", consumer="trainer-1")
    two = driver.ask(0, "n2", consumer="trainer-2")
    driver.generate()
    ids_one = {s["sample_id"] for s in driver.batch_of(one)["samples"]}
    ids_two = {s["sample_id"] for s in driver.batch_of(two)["samples"]}
    assert ids_one.isdisjoint(ids_two)


def test_several_consumers_keep_a_margin_below_the_bound() -> None:
    driver = CoordinatorDriver(make_job(consumers=("trainer-1", "trainer-2")))
    driver.generate()
    driver.publish(3)  # Samples of version 1 are now exactly at the bound of 2.
    name = driver.ask(0, "n1")
    driver.settle()
    assert driver.answer_to(name) is None


def test_another_job_of_the_same_model_also_requires_the_margin() -> None:
    driver = CoordinatorDriver(other_jobs=[make_job(name="hints", consumers=("trainer-2",))])
    driver.generate()
    driver.publish(3)  # The other job's trainer may publish during this commit.
    name = driver.ask(0, "n1")
    driver.settle()
    assert driver.answer_to(name) is None


def test_a_sole_trainer_of_the_model_gets_samples_at_the_bound() -> None:
    driver = CoordinatorDriver(other_jobs=[make_job(name="hints", model="another")])
    driver.generate()
    driver.publish(3)
    name = driver.ask(0, "n1")
    driver.settle()
    assert len(driver.batch_of(name)["samples"]) == 4


def test_the_batch_of_a_sole_trainer_has_no_use_limit() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    name = driver.ask(0, "n1")
    driver.settle()
    assert driver.batch_of(name)["use_within_seconds"] is None


def test_with_several_trainers_a_batch_is_usable_until_a_publication_is_expected() -> None:
    driver = CoordinatorDriver(make_job(consumers=("trainer-1", "trainer-2")))
    for version in (2, 3):  # Twenty seconds apart.
        driver.tick(20.0)
        driver.publish(version)
    driver.serve_all(3)
    driver.tick(20.0)
    driver.generate()
    driver.publish(4)  # The samples have one version to spare.
    driver.tick(5.0)
    name = driver.ask(0, "n1")
    driver.tick(1.0)
    # 5 of 10 s without an expected publication are left, plus 10 s for the spare version.
    assert driver.batch_of(name)["use_within_seconds"] == pytest.approx(15.0, abs=1.5)


def test_slots_of_samples_dropped_by_the_policy_are_discarded() -> None:
    policy = PolicySource(weight="attempt == 0 && prompt_id == 0 ? 0.0 : 2.0")
    driver = CoordinatorDriver(make_job(policy=policy))
    name = driver.ask(0, "n1")
    driver.generate(10)
    batch = driver.batch_of(name)
    assert all(sample["weight"] == 2.0 for sample in batch["samples"])
    following = driver.ask(1, "n2", last_nonce="n1")
    driver.generate(10)
    assert driver.batch_of(following)["batch"] == 2
    assert 0 in {slot for commit in driver.control.committed for slot in commit.discarded_slots}
    assert driver.control.ledger.used.contiguous_end() >= 4


def test_a_failing_weight_program_counts_as_weight_one() -> None:
    # Accepted (the example record has a score), but fails on records without one.
    policy = PolicySource(weight="has_score ? 1.0 : 1.0 / double(token_count - 10)")
    driver = CoordinatorDriver(make_job(policy=policy))
    name = driver.ask(0, "n1")
    driver.generate()
    weights = [sample["weight"] for sample in driver.batch_of(name)["samples"]]
    assert weights == [1.0] * 4


def test_all_samples_of_a_prompt_are_delivered_together() -> None:
    driver = CoordinatorDriver(make_job(samples_per_prompt=2))
    driver.tick()
    streams = driver.open_streams()
    held = next(stream for stream in streams if stream.request_id.startswith("blurbs/0/1~"))
    for stream in streams:
        if stream is not held:
            driver.complete(stream, 1)
    driver.settle()
    name = driver.ask(0, "n1")
    driver.generate(1)
    batch = driver.batch_of(name)
    prompts = [sample["prompt_id"] for sample in batch["samples"]]
    assert all(prompts.count(prompt) == 2 for prompt in prompts)


def test_mirror_mode_delivers_no_batch_until_the_job_becomes_active() -> None:
    driver = CoordinatorDriver(make_job(mode=JobMode.MIRROR))
    driver.generate()
    name = driver.ask(0, "n1")
    answer = driver.answer_to(name)
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (409, "not_active")
    assert driver.journal, "mirrored samples are recorded"
    driver.configure(make_job(mode=JobMode.ACTIVE))
    moved = driver.ask(0, "n2")
    driver.settle()
    assert driver.batch_of(moved)["batch"] == 1


def test_a_paused_job_starts_no_samples() -> None:
    driver = CoordinatorDriver(make_job(phase=JobPhase.PAUSED))
    driver.tick()
    assert driver.open_streams() == []
    answer = driver.answer_to(driver.ask(0, "n1"))
    assert answer is not None
    assert answer[0] == 202


def test_a_job_survives_the_removal_of_all_its_consumers() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    for stream in driver.open_streams():
        driver.chunk(stream, 5, version=1)
    driver.configure(make_job(consumers=()))
    for _ in range(5):
        driver.tick()
    driver.configure(make_job())
    name = driver.ask(0, "n1")
    driver.complete_all(version=1)
    assert len(driver.batch_of(name)["samples"]) == 4


def test_a_lost_lease_refuses_waiting_trainers_and_cancels_streams() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    assert driver.open_streams()
    name = driver.ask(0, "n1")
    driver.lose_lease()
    answer = driver.answer_to(name)
    assert answer is not None
    assert answer[0] == 503
    assert driver.open_streams() == []


def test_a_coordinator_suspended_past_its_lease_sends_nothing() -> None:
    driver = CoordinatorDriver()
    driver.generate()
    held = driver.session.held[f"job/{make_job().name}"]
    driver.session.held[held.resource] = type(held)(held.resource, held.epoch, driver.now + 1.0)
    driver.tick(1.5)
    calls = len(driver.calls)
    driver.now += 60.0
    name = driver.ask(0, "n1")
    driver.tick()
    assert driver.session.waiting == []
    assert all(call.path != "/v1/completions" for call in driver.calls[calls:])
    answer = driver.answer_to(name)
    assert answer is not None
    assert answer[0] == 503


def test_a_new_leader_reads_the_ledger_and_delivers_no_sample_again() -> None:
    control = Control(make_job())
    first = CoordinatorDriver(control=control)
    first.generate()
    name = first.ask(0, "n1")
    first.settle()
    delivered = {s["sample_id"] for s in first.batch_of(name)["samples"]}
    second = CoordinatorDriver(control=control, run="coordinator-2/b")
    following = second.ask(1, "n2", last_nonce="n1")
    second.generate()
    batch = second.batch_of(following)
    assert batch["batch"] == 2
    assert delivered.isdisjoint({s["sample_id"] for s in batch["samples"]})


def test_commits_of_the_former_leader_are_fenced() -> None:
    control = Control(make_job())
    first = CoordinatorDriver(control=control)
    first.generate()
    CoordinatorDriver(control=control, run="coordinator-2/b")
    name = first.ask(0, "n1")
    first.answer_control()
    answer = first.answer_to(name)
    assert answer is not None
    assert answer[0] != 200
    assert control.committed == []
