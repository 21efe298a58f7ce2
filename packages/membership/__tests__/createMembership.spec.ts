import {
    type AvailabilityZone,
    createRandom,
    createSystemClock,
    type HostId,
    type Region,
    type UpstreamId,
} from "@ibislanding/core";
import {
    createMembership,
    createMembershipService,
    createMembershipTransport,
    type Membership,
} from "@ibislanding/membership";
import { createPeerClients, createPeerServer, type PeerAddress } from "@ibislanding/protocol";

const clock = createSystemClock();

const startProcess = async (index: number, seeds: readonly PeerAddress[], stack: AsyncDisposable[]) => {
    const handlers: { membership?: Membership; } = {};
    const service = createMembershipService({
        handleProbe: request => (handlers.membership as Membership).handleProbe(request),
        handleSync: request => (handlers.membership as Membership).handleSync(request),
    });
    const server = (await createPeerServer({ address: "127.0.0.1:0", services: [service] })).unwrap();
    const clients = createPeerClients();
    const self = {
        hostId: `host-${index}` as HostId,
        address: server.address,
        role: index === 0 ? "control" : "entry",
        region: "north" as Region,
        availabilityZone: "north-1" as AvailabilityZone,
    };
    const transport = createMembershipTransport(clients);
    const membership = createMembership({
        self,
        seeds: async () => seeds,
        clock,
        random: createRandom(index + 1),
        transport,
    });
    handlers.membership = membership;
    stack.push(membership, server, clients);
    return membership;
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await clock.sleep(20);
    }
};

describe("createMembership", () => {
    it("joins over gRPC, spreads notices, usage reports and revisions, and announces that it leaves", async () => {
        const stack: AsyncDisposable[] = [];
        const first = await startProcess(0, [], stack);
        const seeds = [first.members()[0]?.address as PeerAddress];
        const second = await startProcess(1, seeds, stack);
        const third = await startProcess(2, seeds, stack);
        const all = [first, second, third];
        await waitUntil(() => all.every(membership => membership.liveMembers().length === 3));
        expect(third.liveMembers("control").map(member => member.hostId)).toEqual(["host-0"]);

        const upstreamId = "engine-1" as UpstreamId;
        second.publishNotice({ upstreamId, kind: "leaving", observedAtMs: clock.wallMs() });
        second.publishUsages({ hostId: "host-1" as HostId, sequence: 1, accounts: [] });
        second.setConfigurationRevision(4 as never);
        await waitUntil(() => all.every(membership => membership.notices().length === 1));
        await waitUntil(() => third.usages().length === 1);
        await waitUntil(() => third.members().some(member => member.configurationRevision === 4));

        await second.leave();
        await waitUntil(() => [first, third].every(membership => membership.liveMembers().length === 2));
        expect(first.stateDump().memberCounts).toMatchObject({ leaving: 1 });
        expect(first.counters().messagesSent).toBeGreaterThan(0);
        await Promise.all(stack.map(resource => resource[Symbol.asyncDispose]()));
    });
});
