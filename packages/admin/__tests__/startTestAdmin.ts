import { createConfigurationFollower } from "@ibislanding/configuration";
import { createFailure, createRandom, createSystemClock, ErrorCode } from "@ibislanding/core";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import { createHttpListener, createMetricsRegistry } from "@ibislanding/runtime";
import { createHash } from "node:crypto";
import { Err } from "ts-results";
import { createAdminHandler, createAdminServices, createAuthenticator, type MemberReport } from "../src";

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

const silentLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} };

/** Union of the fields of all response bodies; each response has some of them. */
interface TestBody {
    readonly code: string;
    readonly details: { readonly issues: unknown; };
    readonly resources: readonly unknown[];
    readonly changes: readonly { readonly revision: number; }[];
    readonly status: { readonly conditions: readonly { readonly status: string; }[]; };
}

/** Operators `root` (all teams), `billing` and `assistant` (one team each); the token is the name with "-token". */
const OPERATORS = [["root", "*"], ["billing", "billing"], ["assistant", "assistant"]].map(([name = "", team = ""]) => ({
    name,
    tokenSha256: sha256(`${name}-token`),
    teams: [team],
}));

/** Starts the administration API on a free loopback port over a fake key-value store. */
export const startTestAdmin = async (reports: MemberReport[] = []) => {
    const clock = createSystemClock();
    const random = createRandom(1);
    const store = createFakeKeyValueStore(clock);
    const stopping = new AbortController();
    const peers = {
        sample: () => [],
        fetch: async () => Err(createFailure(ErrorCode.PeerUnavailable)),
        announce: async () => Err(createFailure(ErrorCode.PeerUnavailable)),
    };
    const follower = createConfigurationFollower({ store, clock, random, peers });
    const services = createAdminServices({
        store,
        follower,
        clock,
        random,
        members: { list: () => reports },
        maximumWatches: 2,
        watchHeartbeatMs: 50,
        stopSignal: stopping.signal,
    });
    const handler = createAdminHandler({
        services,
        authenticate: createAuthenticator(OPERATORS),
        maximumBodyBytes: 100_000,
        logger: silentLogger,
        metrics: createMetricsRegistry(),
    });
    const listener = await createHttpListener({ address: "127.0.0.1", port: 0, tls: "off" }, handler);

    const send = (method: string, path: string, body?: unknown, headers: Record<string, string> = {}) =>
        fetch(`${listener.url}${path}`, {
            method,
            headers: { authorization: "Bearer root-token", "content-type": "application/json", ...headers },
            body: typeof body === "string" || body === undefined ? body : JSON.stringify(body),
        });

    const call = async (...parameters: Parameters<typeof send>) => {
        const response = await send(...parameters);
        return { status: response.status, headers: response.headers, body: (await response.json()) as TestBody };
    };

    return {
        url: listener.url,
        store,
        reports,
        send,
        call,
        [Symbol.asyncDispose]: async () => {
            stopping.abort();
            await listener[Symbol.asyncDispose]();
            await follower[Symbol.asyncDispose]();
        },
    };
};
