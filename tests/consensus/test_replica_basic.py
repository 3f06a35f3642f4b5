"""Bootstrap, election, replication, restart and failover of a small group."""

from .network import Network


def test_three_replicas_elect_replicate_and_commit() -> None:
    network = Network()
    network.start_all()
    leader = network.settle()
    for number in range(20):
        network.commit(b"command %d" % number)
    network.run(1.0)
    payloads = [payload for payload in leader.applied if payload.startswith(b"command")]
    assert payloads == [b"command %d" % number for number in range(20)]
    assert all(node.applied == leader.applied for node in network.nodes.values())
    network.observer.check_logs_match()


def test_all_replicas_recover_from_their_journals() -> None:
    network = Network(seed=1)
    network.start_all()
    network.commit(b"before")
    for name in network.nodes:
        network.crash(name)
    network.start_all()
    network.commit(b"after")
    network.run(1.0)
    for node in network.nodes.values():
        assert [p for p in node.applied if p in (b"before", b"after")] == [b"before", b"after"]


def test_writes_resume_within_3_s_of_a_leader_crash() -> None:
    for seed in range(30):
        network = Network(seed=seed)
        network.start_all()
        network.commit(b"before")
        leader = network.settle()
        network.run(network.rng.random())
        network.crash(leader.name)
        killed_at = network.now
        network.commit(b"after")
        assert network.now - killed_at < 3.0


def test_frozen_leader_is_replaced_and_catches_up_after_waking() -> None:
    network = Network(seed=3)
    network.start_all()
    network.commit(b"before")
    frozen = network.settle()
    network.freeze(frozen.name, 5.0)
    network.commit(b"during")
    network.run(6.0)
    network.commit(b"after")
    network.run(1.0)
    assert frozen.applied == network.settle().applied


def test_single_replica_group_commits_and_recovers() -> None:
    network = Network(members=1)
    network.start_all()
    network.commit(b"alone")
    network.restart("n0")
    network.commit(b"still alone")
    assert b"alone" in network.nodes["n0"].applied
