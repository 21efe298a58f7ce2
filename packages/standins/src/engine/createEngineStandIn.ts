import { createHasher, ErrorCode, type Hasher } from "@ibislanding/core";
import { createHttpClient } from "@ibislanding/platform";
import {
    type EngineLoad,
    type EngineOrder,
    estimateTokenCount,
    type GenerateRequest,
    promptBlockHashes,
    renderPrompt,
} from "@ibislanding/upstreams";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import { answerTokens } from "./answerTokens";
import { attachReader } from "./attachReader";
import { createCacheEventLog } from "./createCacheEventLog";
import { createEngineCore } from "./createEngineCore";
import { createEngineOrders } from "./createEngineOrders";
import { createPrefixCache } from "./createPrefixCache";
import type { EngineProfile } from "./engineProfile";
import type { EngineSequence } from "./engineSequence";
import type { EngineStandIn } from "./engineStandIn";
import { openEngineStream } from "./openEngineStream";
import { replaySequence } from "./replaySequence";

const IMPORT_TIMEOUT_MS = 5_000;
const TRANSFER_BYTES_PER_SECOND = 100_000_000;

const toSequence = (
    request: GenerateRequest,
    importedTokens: number,
    hasher: Hasher,
): EngineSequence => {
    const prompt = renderPrompt(request.messages);
    const fullAnswer = answerTokens(request.model, request.messages, hasher);
    const answer = fullAnswer.slice(0, request.maximumTokens ?? fullAnswer.length);
    return {
        requestId: request.requestId,
        priority: request.priority,
        blockHashes: promptBlockHashes(request.model, prompt, hasher),
        promptTokens: estimateTokenCount(prompt) + request.deliveredTokens.length,
        answer,
        finishReason: answer.length < fullAnswer.length ? "length" : "stop",
        detachedGraceMs: request.detachedGraceMs,
        importedTokens,
        state: "queued",
        cachedTokens: 0,
        prefillTokensLeft: 0,
        generated: request.deliveredTokens.length,
        reader: undefined,
        detachedAtMs: performance.now(),
    };
};

/**
 * Starts an engine stand-in that simulates continuous batching, a prefix cache, delayed load reports, KV cache export
 * and import, and orders.
 */
export const createEngineStandIn = async (port: number, profile: EngineProfile): Promise<EngineStandIn> => {
    const hasher = await createHasher();
    const http = createHttpClient();
    const exported = new Map<string, { tokens: number; sizeBytes: number; }>();
    const orders = createEngineOrders(profile);
    let leavingSinceMs: number | undefined;
    const cacheEvents = createCacheEventLog(profile);
    const cache = createPrefixCache(profile.cacheBlocks, cacheEvents.publish);
    const core = createEngineCore(profile, cache);

    const leave = (): void => {
        leavingSinceMs ??= performance.now();
    };

    const measureLoad = (): EngineLoad => ({
        upstreamId: profile.upstreamId,
        measuredAtMs: Date.now(),
        runningSequences: core.runningSequences(),
        queuedSequences: core.queuedSequences(),
        queuedPromptTokens: core.queuedPromptTokens(),
        concurrentSequences: profile.concurrentSequences,
        prefillTokensPerSecond: profile.prefillTokensPerSecond,
        leaving: leavingSinceMs !== undefined,
        ...orders.describe(),
    });
    let reportedLoad = measureLoad();

    const routes: readonly Route[] = [
        {
            method: "POST",
            pattern: /^\/v1\/generate$/,
            handle: ({ response, body }) => {
                const request = JSON.parse(body) as GenerateRequest;
                if (leavingSinceMs !== undefined) {
                    core.countRefusal(performance.now() - leavingSinceMs);
                    answerJson(response, 503, { code: ErrorCode.UpstreamLeaving });
                    return;
                }
                const sequence = toSequence(request, exported.get(request.cacheHandle ?? "")?.tokens ?? 0, hasher);
                openEngineStream(response, request.requestId);
                attachReader(sequence, response);
                core.submit(sequence);
            },
        },
        {
            method: "POST",
            pattern: /^\/v1\/streams\/([^/]+)\/attach$/,
            handle: ({ response, body, groups: [requestId = ""] }) => {
                const sequence = core.find(requestId);
                if (sequence === undefined || sequence.state === "cancelled") {
                    answerJson(response, 404, { code: ErrorCode.UnknownEvent });
                    return;
                }
                openEngineStream(response, requestId);
                replaySequence(sequence, (JSON.parse(body) as { afterTokens: number; }).afterTokens, response);
                attachReader(sequence, response);
            },
        },
        {
            method: "DELETE",
            pattern: /^\/v1\/streams\/([^/]+)$/,
            handle: ({ response, groups: [requestId = ""] }) => {
                core.cancel(requestId);
                answerJson(response, 200, {});
            },
        },
        {
            method: "POST",
            pattern: /^\/v1\/streams\/([^/]+)\/export$/,
            handle: ({ response, groups: [requestId = ""] }) => {
                const sequence = core.find(requestId);
                if (sequence === undefined) {
                    answerJson(response, 404, { code: ErrorCode.UnknownEvent });
                    return;
                }
                const tokens = sequence.promptTokens - sequence.prefillTokensLeft + sequence.generated;
                const entry = { tokens, sizeBytes: tokens * profile.bytesPerCachedToken };
                const handle = `${profile.upstreamId}-${requestId}-${tokens}`;
                exported.set(handle, entry);
                answerJson(response, 200, { handle, ...entry });
            },
        },
        {
            method: "GET",
            pattern: /^\/v1\/caches\/([^/]+)$/,
            handle: ({ response, groups: [handle = ""] }) =>
                answerJson(response, exported.has(handle) ? 200 : 404, exported.get(handle) ?? {}),
        },
        {
            method: "POST",
            pattern: /^\/v1\/caches\/import$/,
            handle: async ({ response, body }) => {
                const { fromUrl, handle } = JSON.parse(body) as { fromUrl: string; handle: string; };
                const url = `${fromUrl}/v1/caches/${encodeURIComponent(handle)}`;
                const answer = await http.send({ method: "GET", url, timeoutMs: IMPORT_TIMEOUT_MS });
                if (answer.err || answer.val.status !== 200) {
                    answerJson(response, 404, { code: ErrorCode.UnknownEvent });
                    return;
                }
                const entry = JSON.parse(answer.val.body) as { tokens: number; sizeBytes: number; };
                await new Promise(resolve => setTimeout(resolve, entry.sizeBytes / TRANSFER_BYTES_PER_SECOND * 1_000));
                exported.set(handle, entry);
                answerJson(response, 200, { handle, ...entry });
            },
        },
        {
            method: "GET",
            pattern: /^\/v1\/load$/,
            handle: ({ response }) =>
                answerJson(response, 200, { ...reportedLoad, leaving: leavingSinceMs !== undefined }),
        },
        {
            method: "GET",
            pattern: /^\/v1\/cache-events$/,
            handle: ({ response, url }) =>
                answerJson(response, 200, cacheEvents.after(Number(url.searchParams.get("after") ?? 0))),
        },
        {
            method: "POST",
            pattern: /^\/v1\/orders$/,
            handle: ({ response, body }) => {
                const order = JSON.parse(body) as EngineOrder;
                const applied = orders.apply(order);
                if (applied && order.type === "drain") {
                    leave();
                }
                answerJson(response, applied ? 200 : 409, applied ? {} : { code: ErrorCode.StaleFencingNumber });
            },
        },
        {
            method: "POST",
            pattern: /^\/leave$/,
            handle: ({ response }) => {
                leave();
                answerJson(response, 200, {});
            },
        },
        {
            method: "GET",
            pattern: /^\/statistics$/,
            handle: ({ response }) => answerJson(response, 200, core.statistics()),
        },
    ];
    const server = await createStandInServer(port, routes);
    const iterations = setInterval(() => core.iterate(performance.now()), profile.iterationMs);
    const reports = setInterval(() => {
        reportedLoad = measureLoad();
    }, profile.reportLagMs);

    const kill = async (): Promise<void> => {
        clearInterval(iterations);
        clearInterval(reports);
        await http[Symbol.asyncDispose]();
        await server[Symbol.asyncDispose]();
    };

    return {
        ...server,
        leave,
        kill,
        [Symbol.asyncDispose]: kill,
    };
};
