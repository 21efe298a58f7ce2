// Guards against explanations for operators that use up the limit of an account, reach an upstream or count as usage, and
// against bad input that is answered with a guess.
import { createResourceStack, type ServiceName } from "@ibislanding/core";
import { createMetricsRegistry, serveMetrics } from "@ibislanding/runtime";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { runIbisctl } from "../../ctl/__tests__/runIbisctl";
import { createTestStore } from "./support/createTestStore";
import { findFreePort } from "./support/findFreePort";
import { sendTestRequest } from "./support/sendTestRequest";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const RATE_PER_S = 3;
const BURST = 3;
/** Time in which a meter that starts without credit has the whole burst. */
const FILL_MS = 3_000;
const EXPLANATIONS = 30;
const REQUEST = { path: "/orders/1", body: "" };
const START_MS = 6_000;
const WINDOW_MS = 2_500;

/** Starts a host with an account that may send a few requests, and an upstream that counts what it receives. */
const startHost = async () => {
    const resources = createResourceStack();
    const store = createTestStore();
    const state = { arrivals: 0 };
    const upstream = createServer((request, response) => {
        state.arrivals++;
        request.resume();
        response.writeHead(200, { "X-Request": String(request.headers["x-request"]), "Content-Length": "2" });
        response.end("ok");
    });
    const port = await findFreePort();
    await new Promise<void>(resolve => upstream.listen(port, "127.0.0.1", resolve));
    resources.defer(async () => {
        upstream.closeAllConnections();
        upstream.close();
    });
    const configuration = createTestConfiguration(1, "k1");
    store.write(
        "configuration",
        JSON.stringify({
            ...configuration,
            accounts: configuration.accounts.map(account => ({ ...account, ratePerS: RATE_PER_S, burst: BURST })),
        }),
    );
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", port)));
    const started = await startTestHost(store, "a");
    resources.use(started.host);
    const address = `127.0.0.1:${await findFreePort()}`;
    resources.use(
        await serveMetrics(address, createMetricsRegistry(), { explain: started.host.handleExplain }),
    );
    const url = `http://${address}`;
    const explain = (...args: readonly string[]) => runIbisctl(["explain", "route", url, ...args]);
    const giveUpAtMs = performance.now() + START_MS;
    while (
        !(await explain("shop.example", "/orders/1", "--key", "k1")).stdout.includes("u-1")
        && performance.now() < giveUpAtMs
    ) {
        await sleep(20);
    }
    return { ...started, explain, url, state, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};

test(
    "ibisctl explains a route without sending, charging or counting a request, and names faults of its input",
    async () => {
        await using started = await startHost();
        const { explain, url, callers, events, reports, state } = started;
        const send = () => sendTestRequest(callers, REQUEST);
        const countEnded = () => events.filter(({ event }) => event === "request_ended").length;
        // The meter of an account exists from its first request on.
        await send();
        await sleep(FILL_MS);
        const [arrivals, ended] = [state.arrivals, countEnded()];
        for (let index = 0; index < EXPLANATIONS; index++) {
            const { exitCode, stdout } = await explain("shop.example", "/orders/1", "--key", "k1", "--output", "json");
            expect(exitCode).toBe(0);
            expect(JSON.parse(stdout)).toMatchObject({
                route: "orders",
                accountId: "acme",
                destinations: [{ service: "orders" as ServiceName, decision: { kind: "send", upstreamId: "u-1" } }],
            });
        }
        expect((await explain("shop.example", "/orders/1", "--key", "k1")).stdout).toMatch(
            /decision: send to u-1, predicted/,
        );

        expect(await explain("other.example", "/x")).toMatchObject({
            exitCode: 5,
            stderr: expect.stringContaining("no route of host \"other.example\"") as string,
        });
        expect((await explain("shop.example", "/orders/1")).stderr).toContain(
            "requires an account, and no key was given",
        );
        expect((await explain("shop.example", "/orders/1", "--key", "k9")).stderr).toContain(
            "no account has the given key",
        );
        expect(await explain("shop.example", "/orders/1", "--prompt-part", "a")).toMatchObject({
            exitCode: 2,
            stderr: expect.stringContaining("--prompt-part must be ID:TOKENS (value: a)") as string,
        });
        const body = JSON.stringify({ host: "shop.example", path: "orders", key: "k1" });
        const invalid = await fetch(`${url}/explain/route`, { method: "POST", body });
        const problem = await invalid.text();
        expect([invalid.status, problem]).toEqual([400, expect.stringMatching(/The query is invalid: path: .*key/)]);
        expect((await fetch(`${url}/explain/route`)).status).toBe(404);

        expect([state.arrivals, countEnded()]).toEqual([arrivals, ended]);
        // The whole burst of the account is left, which as many requests as there were explanations use up.
        expect([await send(), await send(), await send()]).toEqual([200, 200, 200]);
        expect(state.arrivals).toBe(arrivals + BURST);
        const statuses: number[] = [];
        for (let index = 0; index < EXPLANATIONS; index++) {
            statuses.push(await send());
        }
        expect(statuses).toContain(429);
        await sleep(WINDOW_MS);
        expect(reports.reduce((sum, { requests }) => sum + requests, 0)).toBe(state.arrivals);
    },
    30_000,
);
