// Guards against an answer of a service with an invalid field name that reaches callers, or is recorded as the answer to an action.
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { startHeadServer } from "../../core/__tests__/support/startHeadServer";
import { startTestSystem, TEST_KEY } from "./startTestSystem";

const LENGTH = "Content-Length: 2\r\n";

/** Bytes that parsers which are not strict accept in some place, and one that they refuse. */
const BYTES = [" ", "\t", "\n", "\r", "\0"];

test.each(createInvalidHeads(LENGTH, BYTES))(
    "an answer of a service with $title is not sent to callers",
    async ({ head }) => {
        await using service = await startHeadServer();
        await using system = await startTestSystem(0, `http://127.0.0.1:${service.port}`);
        Object.assign(service.state, { text: `${head}{}`, isOdd: true });
        const send = async (method: string, path: string, headers: Readonly<Record<string, string>> = {}) => {
            const response = await fetch(`${system.entry.url}/services/${path}`, {
                method,
                headers: { authorization: `Bearer ${TEST_KEY}`, "x-request-timeout-ms": "4000", ...headers },
                signal: AbortSignal.timeout(10_000),
            });
            return { status: response.status, isReplayed: response.headers.has("idempotent-replayed") };
        };
        expect((await send("GET", "catalogue/items")).status).toBeGreaterThanOrEqual(500);
        const action = { "idempotency-key": "key-1" };
        expect([(await send("POST", "payments/orders", action)).status >= 500]).toEqual([true]);
        expect(await send("POST", "payments/orders", action)).toMatchObject({ isReplayed: false });
    },
);
