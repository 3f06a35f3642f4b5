"""A healthy group: founding, election, replication, restart."""

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


def test_all_restart_from_their_journals() -> None:
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


def test_leader_killed_writes_are_accepted_again_soon() -> None:
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


def test_leader_frozen_in_silence_is_replaced_and_does_not_act_on_waking() -> None:
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


def test_single_replica_group_works() -> None:
    network = Network(members=1)
    network.start_all()
    network.commit(b"alone")
    network.restart("n0")
    network.commit(b"still alone")
    assert b"alone" in network.nodes["n0"].applied
