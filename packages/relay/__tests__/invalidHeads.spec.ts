// Guards against an answer with a blank or a control byte in a field name that comes from a peer, and against a confirmation in such a
// head, which would let the request count as one that may have run.
import { type AvailabilityZone, createRandom, createSystemClock } from "@ibislanding/core";
import { createServer } from "node:net";
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { createInvalidNames } from "../../core/__tests__/support/createInvalidNames";
import { writeSlowly } from "../../core/__tests__/support/writeSlowly";
import { createRelayClient } from "../src";

const BODY = Buffer.from("x".repeat(500));
const LAST_CHUNK = "\r\n0\r\n\r\n";
const CONFIRMATION = "HTTP/1.1 102 Processing\r\n\r\n";

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/** Starts a peer that sends the current texts, once it has read a request and once it was told to run it. */
const startPeer = async () => {
    const state = { confirmation: CONFIRMATION, answer: soundAnswer, isSlow: false, ranRequests: 0 };
    const server = createServer(socket => {
        let received = "";
        const write = async (text: string): Promise<void> => {
            await (state.isSlow ? writeSlowly(socket, text) : void socket.write(text, "latin1"));
        };
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += chunk.toString();
            if (received.endsWith(LAST_CHUNK)) {
                received = "";
                state.ranRequests++;
                const isOdd = state.answer !== soundAnswer;
                void write(state.answer).then(() => isOdd && socket.end());
            }
            else if (received.includes(BODY.toString())) {
                void write(state.confirmation);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        state,
        address: `127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`,
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

const startClient = (address: string) => {
    const peers = [{ address, availabilityZone: "zone-a" as AvailabilityZone, cores: 1 }];
    const client = createRelayClient({
        clock: createSystemClock(),
        random: createRandom(1),
        ownAddress: "sender:1",
        ownZone: "zone-a" as AvailabilityZone,
        peerAddresses: () => [address],
        onEnd: () => undefined,
    });
    return {
        send: async () => {
            const result = await client.send({
                peers,
                method: "POST",
                target: "/orders/1",
                rawHeaders: ["Host", "shop.example"],
                body: BODY,
                head: { isFirstSend: true },
                dueAtMs: createSystemClock().monotonicMs() + 3_000,
                requestId: "r1",
                signal: new AbortController().signal,
            });
            if (result.kind === "answered") {
                result.body.on("error", () => undefined);
                result.body.resume();
                await new Promise(resolve => result.body.once("close", resolve));
            }
            return result.kind;
        },
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
};

const cases = [true, false].flatMap(isSlow => [true, false].map(isKept => ({ isSlow, isKept })));

test.each(cases)(
    "an answer of a peer with a blank or a control byte in a field name is not passed on, %j",
    async ({ isSlow, isKept }) => {
        await using peer = await startPeer();
        peer.state.isSlow = isSlow;
        for (const { title, head } of createInvalidHeads("Content-Length: 2\r\n")) {
            await using client = startClient(peer.address);
            if (isKept) {
                peer.state.answer = soundAnswer;
                expect(await client.send()).toBe("answered");
            }
            peer.state.answer = `${head}{}`;
            expect({ title, kind: await client.send() }).toEqual({ title, kind: "unknown" });
        }
    },
);

test.each([true, false])("a confirmation in such a head is none, byte by byte %s", async isSlow => {
    await using peer = await startPeer();
    peer.state.isSlow = isSlow;
    for (const name of createInvalidNames("X-Extra")) {
        await using client = startClient(peer.address);
        peer.state.confirmation = `HTTP/1.1 102 Processing\r\n${name}: 1\r\n\r\n`;
        expect({ name, kind: await client.send() }).toEqual({ name, kind: "not-run" });
    }
    expect(peer.state.ranRequests).toBe(0);
});
