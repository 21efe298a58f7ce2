import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import type { StandInServer } from "../server/standInServer";

interface ServiceOptions {
    /** Whether a request with a repeated idempotency key returns the first answer without a second effect. */
    readonly deduplicates: boolean;
    /** Delay between the effect and the response. */
    readonly answerDelayMs: number;
}

const READ_METHODS = new Set(["GET", "HEAD"]);

/** Starts a plain service that counts its effects by idempotency key; `GET /effects` returns the counts. */
export const createServiceStandIn = (port: number, options: ServiceOptions): Promise<StandInServer> => {
    const effects = new Map<string, number>();
    const answers = new Map<string, unknown>();

    const runEffect = (key: string, path: string, body: string): unknown => {
        const earlier = answers.get(key);
        if (options.deduplicates && earlier !== undefined) {
            return earlier;
        }
        const count = (effects.get(key) ?? 0) + 1;
        const answer = { path, idempotencyKey: key, count, receivedBytes: Buffer.byteLength(body) };
        effects.set(key, count);
        answers.set(key, answer);
        return answer;
    };

    const routes: readonly Route[] = [
        {
            method: "GET",
            pattern: /^\/effects$/,
            handle: ({ response }) =>
                answerJson(response, 200, {
                    effects: [...effects].map(([idempotencyKey, count]) => ({ idempotencyKey, count })),
                }),
        },
        { method: "GET", pattern: /^\/readyz$/, handle: ({ response }) => answerJson(response, 200, {}) },
        {
            method: "*",
            pattern: /^(\/.*)$/,
            handle: async ({ request, response, body, groups: [path = "/"] }) => {
                const requestId = request.headers["x-request-id"];
                if (typeof requestId === "string") {
                    response.setHeader("x-request-id", requestId);
                }
                const key = request.headers["idempotency-key"];
                const isRead = READ_METHODS.has(request.method ?? "GET");
                const answer = isRead ? { path } : runEffect(typeof key === "string" ? key : "", path, body);
                await new Promise(resolve => setTimeout(resolve, options.answerDelayMs));
                answerJson(response, 200, answer);
            },
        },
    ];
    return createStandInServer(port, routes);
};
