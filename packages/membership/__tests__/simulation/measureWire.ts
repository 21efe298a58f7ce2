import {
    type AccountId,
    type AvailabilityZone,
    createRandom,
    createSystemClock,
    type HostId,
    type Region,
} from "@ibislanding/core";
import {
    createMembership,
    createMembershipService,
    createMembershipTransport,
    type Membership,
} from "@ibislanding/membership";
import { createPeerClients, createPeerServer, type PeerAddress } from "@ibislanding/protocol";
import { connect, createServer, type Server } from "node:net";

const IDLE_MS = 20_000;
const clock = createSystemClock();

/** Forwards connections to a port and counts the bytes in both directions. */
const startProxy = async (
    port: number,
    traffic: { bytes: number; connections: number; },
): Promise<{ readonly server: Server; readonly port: number; }> => {
    const server = createServer(incoming => {
        traffic.connections++;
        const outgoing = connect(port, "127.0.0.1");
        [incoming, outgoing].forEach(socket => {
            socket.on("data", (chunk: Buffer) => {
                traffic.bytes += chunk.length;
            });
            socket.on("error", () => undefined);
        });
        incoming.pipe(outgoing).pipe(incoming);
    });
    await new Promise<void>(resolve => void server.listen(0, "127.0.0.1", resolve));
    return { server, port: (server.address() as { port: number; }).port };
};

const measure = async (size: number): Promise<void> => {
    const traffic = { bytes: 0, connections: 0 };
    const seeds: PeerAddress[] = [];
    const memberships: Membership[] = [];
    for (const index of Array.from({ length: size }, (_, position) => position)) {
        const handlers: { membership?: Membership; } = {};
        const service = createMembershipService({
            handleProbe: request => (handlers.membership as Membership).handleProbe(request),
            handleSync: request => (handlers.membership as Membership).handleSync(request),
        });
        const server = (await createPeerServer({ address: "127.0.0.1:0", services: [service] })).unwrap();
        const proxy = await startProxy(Number(server.address.split(":")[1]), traffic);
        const address = `127.0.0.1:${proxy.port}` as PeerAddress;
        seeds.push(address);
        const zone = `zone-${index % 3}`;
        const membership = createMembership({
            self: {
                hostId: `entry-${"0".repeat(10)}${index}` as HostId,
                address,
                role: "entry",
                region: zone as Region,
                availabilityZone: zone as AvailabilityZone,
            },
            seeds: async () => seeds.slice(0, 3),
            clock,
            random: createRandom(index + 1),
            transport: createMembershipTransport(createPeerClients()),
        });
        handlers.membership = membership;
        memberships.push(membership);
        const random = createRandom(index + 100);
        let sequence = 0;
        setInterval(() => {
            const accounts = Array.from({ length: 5 }, (_, account) => ({
                accountId: `account-${account}` as AccountId,
                demandPerSecond: random.nextFloat() * 100,
                admittedPerSecond: random.nextFloat() * 100,
                running: random.nextInt(200),
            }));
            membership.publishUsages({
                hostId: membership.members()[0]?.hostId as HostId,
                sequence: ++sequence,
                accounts,
            });
        }, 1_000);
    }
    while (!memberships.every(membership => membership.liveMembers().length === size)) {
        await clock.sleep(50);
    }
    await clock.sleep(20_000);
    const before = { ...traffic };
    const payload = (): number => memberships.reduce((sum, membership) => sum + membership.counters().bytesSent, 0);
    const payloadBefore = payload();
    const cpuBefore = process.cpuUsage();
    const startMs = clock.monotonicMs();
    await clock.sleep(IDLE_MS);
    const seconds = (clock.monotonicMs() - startMs) / 1_000;
    const cpu = process.cpuUsage(cpuBefore);
    const perNode = (value: number): number => Math.round(value / size / seconds * 10) / 10;
    const notLive = memberships.filter(membership => membership.liveMembers().length !== size).length;
    process.stdout.write(`${
        JSON.stringify({
            size,
            seconds: Math.round(seconds),
            // The proxy sees each byte once, so the count is that of the bytes sent by all nodes.
            wireBytesSentPerSecond: perNode(traffic.bytes - before.bytes),
            payloadBytesSentPerSecond: perNode(payload() - payloadBefore),
            newConnectionsPerSecond: perNode(traffic.connections - before.connections),
            cpuMsPerSecond: perNode((cpu.user + cpu.system) / 1_000),
            notLive,
            rssMb: Math.round(process.memoryUsage().rss / 1e6),
        })
    }\n`);
    process.exit(0);
};

void measure(Number(process.argv[2]));
