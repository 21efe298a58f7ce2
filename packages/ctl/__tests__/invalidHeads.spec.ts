// Guards against documents and events that are accepted although a field name in the head of their response is invalid.
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { startHeadServer } from "../../core/__tests__/support/startHeadServer";
import { openEventStream } from "../src/client/openEventStream";
import { sendHttpRequest } from "../src/client/sendHttpRequest";

const EVENT = "event: change\nid: 1\ndata: {}\n\n";

test.each([false, true])("a response with an invalid field name is not accepted, byte by byte %s", async isSlow => {
    await using server = await startHeadServer();
    const call = { method: "GET", url: `http://127.0.0.1:${server.port}/`, timeoutMs: 5_000 } as const;
    Object.assign(server.state, { isOdd: true, isSlow });
    for (const { title, head } of createInvalidHeads("Content-Length: 2\r\n")) {
        server.state.text = `${head}{}`;
        expect({ title, val: (await sendHttpRequest(call)).val }).toMatchObject({
            title,
            val: { code: "outcome_unknown" },
        });
    }
    for (const { title, head } of createInvalidHeads("Content-Type: text/event-stream\r\n")) {
        server.state.text = `${head}${EVENT}`;
        const events: unknown[] = [];
        const { val } = await openEventStream(call, event => events.push(event) < 1);
        expect({ title, val, events }).toMatchObject({ title, val: { code: "peer_unavailable" }, events: [] });
    }
});
