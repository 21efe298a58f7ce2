// Guards against relayed requests that run twice, or that are refused as not run although they may have: the peer dies before,
// while and after it reads the request. Also against requests that are relayed round, or come from unknown senders or too late.
import {
    type AvailabilityZone,
    createDeferred,
    createFakeClock,
    createRandom,
    createSystemClock,
} from "@ibislanding/core";
import { defaultConnectionLimits } from "@ibislanding/runtime";
import { once } from "node:events";
import { createServer, type IncomingMessage, request as sendRequest, type ServerResponse } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { setImmediate } from "node:timers/promises";
import { createRelayClient, type RelayClient, relayHeaders, type RelayPeer, startRelayListener } from "../src";
import { encodeRelayHead } from "../src/messages/encodeRelayHead";

const zone = "zone-a" as AvailabilityZone;
const BODY = Buffer.from("x".repeat(500));
const LAST_CHUNK = "\r\n0\r\n\r\n";

const toPeer = (port: number, cores = 1): RelayPeer => ({
    address: `127.0.0.1:${port}`,
    availabilityZone: zone,
    cores,
});

const portOf = (server: { readonly address: () => unknown; }): number => (server.address() as { port: number; }).port;

/** Starts a peer that acts on the bytes that it has received so far. */
const startRawPeer = async (act: (received: string, socket: Socket) => void) => {
    let received = "";
    const server = createTcpServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += chunk.toString();
            act(received, socket);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: portOf(server),
        hasRun: () => received.endsWith(LAST_CHUNK),
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

/** Starts a peer with a real listener that answers requests with their bodies' lengths. */
const startPeer = async (
    reachesUpstreams = true,
    answer: (response: ServerResponse) => void = response => response.end("done"),
    softwareVersion = "v1",
) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const port = portOf(probe);
    await new Promise(resolve => probe.close(resolve));
    const refusals: string[] = [];
    const seen: IncomingMessage[] = [];
    const listener = await startRelayListener({
        address: `127.0.0.1:${port}`,
        connections: defaultConnectionLimits,
        onConnectionClosed: () => undefined,
        isKnownSender: address => address === "sender:1",
        reachesUpstreams: () => reachesUpstreams,
        requestsInFlight: () => 3,
        handle: (request, response, relay) => {
            let bytes = 0;
            relay.onBodyBytes(0);
            request.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                relay.onBodyBytes(bytes);
            });
            request.on("end", () => {
                seen.push(request);
                relay.onAnswer(softwareVersion);
                response.writeHead(200, ["X-Bytes", String(bytes)]);
                answer(response);
            });
        },
        onAccepted: () => undefined,
        onRefused: ({ reason }) => void refusals.push(reason),
    });
    return { port, refusals, seen, [Symbol.asyncDispose]: () => listener[Symbol.asyncDispose]() };
};

const createTestClient = (peers: readonly RelayPeer[]) =>
    createRelayClient({
        clock: createSystemClock(),
        random: createRandom(1),
        ownAddress: "sender:1",
        ownZone: zone,
        peerAddresses: () => peers.map(({ address }) => address),
        onEnd: () => undefined,
    });

const sendWith = (
    client: RelayClient,
    peers: readonly RelayPeer[],
    body = BODY,
    signal = new AbortController().signal,
) => client.send({
    peers,
    method: "POST",
    target: "/orders/1",
    rawHeaders: ["Host", "shop.example", "Content-Length", String(body.length), "X-Own", "1"],
    body,
    head: { isFirstSend: true },
    dueAtMs: createSystemClock().monotonicMs() + 3_000,
    requestId: "r1",
    signal,
});

const relay = (peers: readonly RelayPeer[], body = BODY, signal = new AbortController().signal) =>
    sendWith(createTestClient(peers), peers, body, signal);

test("a peer that dies before or while it reads the request has not run it, and another peer serves it", async () => {
    await using deadAtOnce = await startRawPeer((_, socket) => socket.resetAndDestroy());
    await using deadAfterRead = await startRawPeer((received, socket) => {
        if (received.includes(BODY.toString())) {
            socket.destroy();
        }
    });
    await using silent = await startRawPeer(() => undefined);
    await using peer = await startPeer();
    for (const first of [deadAtOnce, deadAfterRead, silent]) {
        expect(await relay([toPeer(first.port, 100), toPeer(peer.port)])).toMatchObject({
            kind: "answered",
            softwareVersion: "v1",
        });
        expect(first.hasRun()).toBe(false);
    }
    expect(peer.seen.length).toBe(3);
    expect(peer.seen[0]?.rawHeaders.join(" ")).toContain("X-Own 1");
    expect(peer.seen[0]?.rawHeaders.join(" ")).not.toContain("ibis-relay");
    expect(await relay([toPeer(silent.port)])).toMatchObject({ kind: "not-run", reason: "confirm-timeout" });
});

test("a peer whose connection was lost is used again at once if there is no other one", async () => {
    let connections = 0;
    await using flaky = await startRawPeer((received, socket) => {
        connections += received.includes(BODY.toString()) ? 1 : 0;
        socket.destroy();
    });
    const peers = [toPeer(flaky.port)];
    const client = createTestClient(peers);
    await sendWith(client, peers);
    expect(client.canHelp(peers)).toBe(false);
    await sendWith(client, peers);
    expect(connections).toBe(2);
});

test("a peer that dies after it was told to run the request may have run it, and no other peer gets it", async () => {
    await using peer = await startPeer();
    await using deadAfterRun = await startRawPeer((received, socket) => {
        if (received.endsWith(LAST_CHUNK)) {
            socket.destroy();
        }
        else if (received.includes(BODY.toString())) {
            socket.write("HTTP/1.1 102 Processing\r\n\r\n");
        }
    });
    expect(await relay([toPeer(deadAfterRun.port, 100), toPeer(peer.port)])).toMatchObject({ kind: "unknown" });
    expect(deadAfterRun.hasRun()).toBe(true);
    expect(peer.seen).toEqual([]);
});

// Such a version threw where the head of the answer was written, so that the caller got none.
test.each(["v1", "1.2.3+build", "v2 \u03b2\n", "50%", "\ud800"])(
    "the version %j of an upstream reaches the host that relays",
    async version => {
        await using peer = await startPeer(true, undefined, version);
        expect(await relay([toPeer(peer.port)])).toMatchObject({
            kind: "answered",
            softwareVersion: Buffer.from(version).toString(),
        });
    },
);

test("a status of a peer that no final answer has is not passed on", async () => {
    const invalid = "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n";
    await using unconfirmed = await startRawPeer((_, socket) => void socket.write(invalid));
    await using confirmed = await startRawPeer((received, socket) => {
        if (received.endsWith(LAST_CHUNK)) {
            socket.write(invalid);
        }
        else if (received.includes(BODY.toString())) {
            socket.write("HTTP/1.1 102 Processing\r\n\r\n");
        }
    });
    expect(await relay([toPeer(unconfirmed.port)])).toMatchObject({ kind: "not-run" });
    expect(await relay([toPeer(confirmed.port)])).toMatchObject({ kind: "unknown" });
});

/** More than the sockets of both sides buffer together. */
const UPLOAD = Buffer.alloc(12_000_000);

test.each([
    ["has failed if its connection is reset", true, (socket: Socket) => void socket.resetAndDestroy()],
    ["is whole if the peer ends its side", false, (socket: Socket) => void socket.end()],
])(
    "an answer without a length of a peer to which the request is still being written %s",
    async (_, hasFailed, end) => {
        await using peer = await startRawPeer((__, socket) => {
            socket.pause();
            socket.write("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart");
            end(socket);
        });
        for (const __ of Array.from({ length: 10 })) {
            const result = await relay([toPeer(peer.port)], UPLOAD);
            if (result.kind === "answered") {
                await text(result.body).catch(() => undefined);
                await setImmediate();
            }
            expect(result.kind !== "answered" || result.hasFailed()).toBe(hasFailed);
        }
    },
);

test("a peer that is cut off itself is passed over, and a request without body is relayed", async () => {
    await using cutOff = await startPeer(false);
    await using peer = await startPeer();
    expect(await relay([toPeer(cutOff.port, 100), toPeer(peer.port)], Buffer.alloc(0))).toMatchObject({
        kind: "answered",
    });
    expect(cutOff.refusals).toEqual(["cut_off"]);
    expect(await relay([toPeer(cutOff.port)])).toMatchObject({ kind: "refused", reason: "cut_off", hasRun: false });
});

test("parts of an answer are passed on as they come, and the peer learns when the caller leaves", async () => {
    const closed = createDeferred<boolean>();
    await using peer = await startPeer(true, response => {
        response.write("first");
        response.once("close", () => closed.resolve(response.writableFinished));
    });
    const caller = new AbortController();
    const result = await relay([toPeer(peer.port)], BODY, caller.signal);
    if (result.kind !== "answered") {
        throw new Error(result.reason);
    }
    const [chunk] = await once(result.body, "data") as [Buffer];
    expect(chunk.toString()).toBe("first");
    result.body.on("error", () => undefined);
    caller.abort();
    expect(await closed.promise).toBe(false);
    expect(result.hasFailed()).toBe(true);
});

const HEAD = { sender: "sender:1", remainingMs: 1_000, isFirstSend: true, bodyBytes: 0 };

test.each([
    ["a second mark", ["a", "b"], HEAD, "relayed_twice"],
    ["no mark", [], HEAD, "relay_head_invalid"],
    ["an unknown sender", ["a"], { ...HEAD, sender: "stranger:1" }, "unknown_sender"],
    ["a deadline that has passed", ["a"], { ...HEAD, remainingMs: 0 }, "relay_deadline_passed"],
])("refuses %s with 503", async (_, marks, head, reason) => {
    await using peer = await startPeer();
    const status = await new Promise<number | undefined>((resolve, reject) => {
        const headers = [
            "Host",
            "shop.example",
            ...marks.flatMap(mark => [relayHeaders.mark, mark]),
            relayHeaders.head,
            encodeRelayHead(head),
        ];
        sendRequest({ agent: false, port: peer.port, host: "127.0.0.1", headers }, response => {
            response.resume();
            resolve(response.statusCode);
        }).on("error", reject).end();
    });
    expect(status).toBe(503);
    expect(peer.refusals).toEqual([reason]);
    expect(peer.seen).toEqual([]);
});

// Guards against state that grows with each host that is replaced.
test("peers that are gone are forgotten", async () => {
    let peers = [toPeer(1)];
    await using client = createRelayClient({
        clock: createFakeClock(),
        random: createRandom(1),
        ownAddress: "sender:1",
        ownZone: zone,
        peerAddresses: () => peers.map(({ address }) => address),
        onEnd: () => undefined,
    });
    await sendWith(client, peers);
    // The peer is passed over while its lost connection is remembered.
    expect(client.canHelp(peers)).toBe(false);
    for (const index of Array.from({ length: 150 }, (_, number) => number + 2)) {
        peers = [{ ...toPeer(1), address: `127.0.0.${index}:1` }];
        await sendWith(client, peers);
    }
    peers = [toPeer(1)];
    expect(client.canHelp(peers)).toBe(true);
});
