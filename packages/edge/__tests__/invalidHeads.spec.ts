// Guards against an answer with an invalid field name that reaches the client of a host through another one that relays it.
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { writeSlowly } from "../../core/__tests__/support/writeSlowly";
import { startRawUpstream } from "../../gateway/__tests__/support/startRawUpstream";
import { actEveryMs } from "./support/actEveryMs";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { startPacedTime } from "./support/startPacedTime";
import { startRelayGroup } from "./support/startRelayGroup";
import { createStoredUpstream } from "./support/startTestHost";

const NOTICE_MS = 1_200;
/** Few enough at a time for the retry budget. */
const SEND_INTERVAL_MS = 40;
/** Bytes that parsers which are not strict accept in some place, and one that they refuse. */
const BYTES = [" ", "\t", "\n", "\r", "\0"];

const bodies = {
    "a plain answer": "{\"answer\": 42}",
    "a stream": "id: 1\ndata: piece 1\n\n",
} as const;

const types = { "a plain answer": "application/json", "a stream": "text/event-stream" } as const;

test.each(Object.keys(bodies) as (keyof typeof bodies)[])(
    "%s with an invalid field name is not passed on by a relay",
    async kind => {
        await using _paced = startPacedTime();
        const body = bodies[kind];
        const createOthers = (requestId: string): string =>
            `X-Request: ${requestId}\r\nX-Signature: s\r\nContent-Type: ${
                types[kind]
            }\r\nContent-Length: ${body.length}\r\n`;
        const headCount = createInvalidHeads("", BYTES).length;
        const received = new Set<string>();
        await using group = await startRelayGroup({
            hosts: 3,
            behindForwarders: 1,
            route: {
                kind: kind === "a stream" ? "stream" : "repeatable",
                objectiveMs: 1_000,
                timeoutMs: 4_000,
                maximumAttempts: 2,
            },
            startUpstream: async (store, index) => {
                const upstream = await startRawUpstream(({ requestId, socket }) => {
                    const others = createOthers(requestId);
                    const oddIndex = Number(/^odd-(\d+)$/.exec(requestId)?.[1] ?? Number.NaN);
                    const head = createInvalidHeads(others, BYTES)[oddIndex]?.head
                        ?? `HTTP/1.1 200 OK\r\n${others}\r\n`;
                    received.add(requestId);
                    void (oddIndex % 2 === 0
                        ? writeSlowly(socket, head + body)
                        : socket.write(head + body, "latin1"));
                });
                store.write(
                    `upstreams/u-${index}`,
                    JSON.stringify({ ...createStoredUpstream(`u-${index}`, upstream.port), slots: 64 }),
                );
                return upstream;
            },
        });
        const send = (requestId: string): Promise<number> =>
            sendTestRequest(group.hosts[0]?.callers ?? 0, {
                path: "/orders/1",
                body: "{}",
                headers: { "X-Request": requestId },
            });
        group.forwarders[0]?.reset();
        await actEveryMs(100, NOTICE_MS, index => void send(`before-${index}`));
        expect(await send("sound")).toBe(200);
        const ids = Array.from({ length: headCount }, (_, index) => `odd-${index}`);
        const statuses: Promise<number>[] = [];
        for (const id of ids) {
            statuses.push(send(id));
            await pauseMs(SEND_INTERVAL_MS);
        }
        const passedOn = (await Promise.all(statuses)).flatMap((status, index) => status === 200 ? [ids[index]] : []);
        expect(passedOn).toEqual([]);
        expect(ids.filter(id => received.has(id)).length).toBeGreaterThan(ids.length * 0.8);
        expect(await send("sound-after")).toBe(200);
    },
    120_000,
);
