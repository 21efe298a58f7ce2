import type { Problem } from "@ibislanding/core";
import { OTHER_KEY, startTestSystem, TEST_KEY, type TestEntry, type TestSystem } from "./startTestSystem";

interface Effects {
    readonly effects: readonly { readonly idempotencyKey: string; readonly count: number; }[];
}

const pay = (entry: TestEntry, key: string | undefined, amount = 120, bearer = TEST_KEY): Promise<Response> =>
    fetch(`${entry.url}/services/payments/orders`, {
        method: "POST",
        body: JSON.stringify({ amount }),
        headers: {
            authorization: `Bearer ${bearer}`,
            "x-request-timeout-ms": "4000",
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
    });

describe("actions over HTTP", () => {
    let system: TestSystem;
    let other: TestEntry;

    beforeEach(async () => {
        system = await startTestSystem(0);
        other = await system.addEntry();
    });
    afterEach(() => system[Symbol.asyncDispose]());

    const setFaults = (url: string, faults: unknown): Promise<Response> =>
        fetch(`${url}/faults`, { method: "POST", body: JSON.stringify(faults) });

    const countOf = async (key: string): Promise<number> => {
        const { effects } = await (await fetch(`${system.service.url}/effects`)).json() as Effects;
        return effects.find(({ idempotencyKey }) => idempotencyKey === key)?.count ?? 0;
    };

    const problemOf = async (response: Response) => {
        const { code } = await response.json() as Problem;
        return { status: response.status, code, retryAfter: response.headers.get("retry-after") };
    };

    it("runs an action once and replays its answer at every host", async () => {
        const first = await pay(system.entry, "key-1");
        const replays = await Promise.all([pay(other, "key-1"), pay(system.entry, "key-1")]);
        const body = await first.text();
        expect(first.status).toBe(200);
        expect(await Promise.all(replays.map(response => response.text()))).toEqual([body, body]);
        expect(replays.map(({ headers }) => headers.get("idempotent-replayed"))).toEqual(["true", "true"]);
        expect(await countOf("key-1")).toBe(1);
    });

    it("runs concurrent duplicates once", async () => {
        const responses = await Promise.all(
            Array.from({ length: 20 }, (_, number) => pay(number % 2 === 0 ? system.entry : other, "key-2")),
        );
        expect(responses.every(({ status }) => status === 200 || status === 409)).toBe(true);
        expect(await countOf("key-2")).toBe(1);
    });

    it("requires a key and refuses one that belongs to another request", async () => {
        expect(await problemOf(await pay(other, undefined))).toMatchObject({ status: 400, code: "bad_request" });
        await pay(system.entry, "key-3");
        expect(await problemOf(await pay(other, "key-3", 121))).toMatchObject({ status: 422, code: "key_reused" });
        expect((await pay(other, "key-3", 121, OTHER_KEY)).headers.get("idempotent-replayed")).toBeNull();
    });

    it("answers not_run without the key-value service, and runs the action afterwards", async () => {
        await setFaults(system.keyValue.url, { mode: "refuse" });
        const refused = await problemOf(await pay(system.entry, "key-4"));
        expect(refused).toEqual({ status: 503, code: "not_run", retryAfter: "1" });
        expect(await countOf("key-4")).toBe(0);
        await setFaults(system.keyValue.url, {});
        expect((await pay(other, "key-4")).status).toBe(200);
        expect(await countOf("key-4")).toBe(1);
    });

    it("runs an action whose claim was written although the key-value response was lost", async () => {
        await setFaults(system.keyValue.url, { loseAnswers: 1 });
        expect((await pay(system.entry, "key-5")).status).toBe(200);
        expect(await countOf("key-5")).toBe(1);
    });

    it("answers outcome_unknown when the upstream's answer was lost, and does not run the action again", async () => {
        await setFaults(system.service.url, { loseAnswers: 1 });
        const unknown = { status: 502, code: "outcome_unknown", retryAfter: null };
        expect(await problemOf(await pay(system.entry, "key-6"))).toEqual(unknown);
        expect(await problemOf(await pay(other, "key-6"))).toEqual(unknown);
        expect(await countOf("key-6")).toBe(1);
    });
});
