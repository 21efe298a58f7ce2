import { createHasher, createRandom, ErrorCode, type Hasher } from "@ibislanding/core";
import { createHttpExchange } from "@ibislanding/platform";
import {
    type CacheEvent,
    countTokens,
    type EngineEvent,
    type EngineLoad,
    type EngineOrder,
    type GenerateRequest,
    promptBlockHashes,
    renderPrompt,
} from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import { answerTokens } from "./answerTokens";
import { createEngineCore } from "./createEngineCore";
import { createPrefixCache } from "./createPrefixCache";
import type { EngineProfile } from "./engineProfile";
import type { EngineSequence } from "./engineSequence";
import type { EngineStandIn } from "./engineStandIn";

const HEARTBEAT_MS = 1_000;
const MAXIMUM_CACHE_EVENTS = 4_096;
const IMPORT_TIMEOUT_MS = 5_000;
const TRANSFER_BYTES_PER_SECOND = 100_000_000;

interface PublishedEvent extends CacheEvent {
    readonly visibleAtMs: number;
    readonly lost: boolean;
}

const sendEvent = (response: ServerResponse, event: EngineEvent): void => {
    response.write(`data: ${JSON.stringify(event)}\n\n`);
};

const toSequence = (
    request: GenerateRequest,
    importedTokens: number,
    hasher: Hasher,
): EngineSequence => {
    const prompt = renderPrompt(request.messages);
    const whole = answerTokens(request.model, request.messages, hasher);
    const answer = whole.slice(0, request.maximumTokens ?? whole.length);
    return {
        requestId: request.requestId,
        priority: request.priority,
        blockHashes: promptBlockHashes(request.model, prompt, hasher),
        promptTokens: countTokens(prompt) + request.deliveredTokens.length,
        answer,
        finishReason: answer.length < whole.length ? "length" : "stop",
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

/** Starts an engine stand-in: continuous batching, a prefix cache, lagged reports, cache export and import, orders. */
export const createEngineStandIn = async (port: number, profile: EngineProfile): Promise<EngineStandIn> => {
    const hasher = await createHasher();
    const http = createHttpExchange();
    const random = createRandom(profile.seed);
    const events: PublishedEvent[] = [];
    const exported = new Map<string, { tokens: number; sizeBytes: number; }>();
    const versions: Record<string, string> = { [profile.model]: profile.version };
    const adapters = new Set<string>();
    const order = { fencingNumber: 0, generation: 0, role: "serve" };
    let lastSequence = 0;
    let leaving = false;
    const cache = createPrefixCache(profile.cacheBlocks, (type, blockHash) => {
        events.push({
            sequence: ++lastSequence,
            type,
            blockHash,
            visibleAtMs: performance.now() + profile.reportLagMs,
            lost: random.nextUnit() < profile.cacheEventLoss,
        });
        events.splice(0, Math.max(0, events.length - MAXIMUM_CACHE_EVENTS));
    });
    const core = createEngineCore(profile, cache);

    const measureLoad = (): EngineLoad => ({
        upstreamId: profile.upstreamId,
        measuredAtMs: Date.now(),
        runningSequences: core.runningSequences(),
        queuedSequences: core.queuedSequences(),
        queuedPromptTokens: core.queuedPromptTokens(),
        concurrentSequences: profile.concurrentSequences,
        prefillTokensPerSecond: profile.prefillTokensPerSecond,
        leaving,
        modelVersions: { ...versions },
        adapters: [...adapters],
        role: order.role,
    });
    let reportedLoad = measureLoad();

    const attachReader = (sequence: EngineSequence, response: ServerResponse): void => {
        const reader = (event: EngineEvent): void => {
            sendEvent(response, event);
            if (event.type === "finished") {
                response.end();
            }
        };
        sequence.reader = reader;
        response.on("close", () => {
            if (sequence.reader === reader) {
                sequence.reader = undefined;
                sequence.detachedAtMs = performance.now();
            }
        });
    };

    const openStream = (response: ServerResponse, requestId: string): void => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        sendEvent(response, { type: "heartbeat", requestId });
        const timer = setInterval(() => sendEvent(response, { type: "heartbeat", requestId }), HEARTBEAT_MS);
        response.on("close", () => clearInterval(timer));
    };

    const replay = (sequence: EngineSequence, afterTokens: number, response: ServerResponse): void => {
        const { requestId, promptTokens, cachedTokens, finishReason: reason, generated } = sequence;
        sendEvent(response, { type: "started", requestId, promptTokens, cachedTokens });
        sequence.answer.slice(afterTokens, generated).forEach((text, offset) =>
            sendEvent(response, { type: "token", requestId, index: afterTokens + offset, text })
        );
        if (sequence.state === "finished") {
            sendEvent(response, { type: "finished", requestId, reason, totalTokens: generated });
            response.end();
        }
    };

    const applyOrder = (incoming: EngineOrder): boolean => {
        if (profile.checksFencing && incoming.fencingNumber < order.fencingNumber) {
            return false;
        }
        order.fencingNumber = Math.max(order.fencingNumber, incoming.fencingNumber);
        if (incoming.generation < order.generation) {
            return true;
        }
        order.generation = incoming.generation;
        const handlers: Readonly<Record<EngineOrder["type"], () => void>> = {
            "load-model": () => {
                versions[incoming.model ?? profile.model] = incoming.version ?? "";
            },
            "load-adapter": () => void adapters.add(incoming.adapter ?? ""),
            "unload-adapter": () => void adapters.delete(incoming.adapter ?? ""),
            "set-role": () => {
                order.role = incoming.role ?? order.role;
            },
            drain: () => {
                leaving = true;
            },
        };
        handlers[incoming.type]();
        return true;
    };

    const routes: readonly Route[] = [
        {
            method: "POST",
            pattern: /^\/v1\/generate$/,
            handle: ({ response, body }) => {
                const request = JSON.parse(body) as GenerateRequest;
                if (leaving) {
                    core.countRefusal();
                    answerJson(response, 503, { code: ErrorCode.UpstreamLeaving });
                    return;
                }
                const sequence = toSequence(request, exported.get(request.cacheHandle ?? "")?.tokens ?? 0, hasher);
                openStream(response, request.requestId);
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
                openStream(response, requestId);
                replay(sequence, (JSON.parse(body) as { afterTokens: number; }).afterTokens, response);
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
                const answer = await http.exchange({ method: "GET", url, timeoutMs: IMPORT_TIMEOUT_MS });
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
            handle: ({ response }) => answerJson(response, 200, { ...reportedLoad, leaving }),
        },
        {
            method: "GET",
            pattern: /^\/v1\/cache-events$/,
            handle: ({ response, url }) => {
                const after = Number(url.searchParams.get("after") ?? 0);
                const nowMs = performance.now();
                const visible = events.filter(event =>
                    event.sequence > after && event.visibleAtMs <= nowMs && !event.lost
                );
                answerJson(response, 200, {
                    events: visible.map(({ sequence, type, blockHash }) => ({ sequence, type, blockHash })),
                    lastSequence: Math.max(after, ...visible.map(({ sequence }) => sequence)),
                });
            },
        },
        {
            method: "POST",
            pattern: /^\/v1\/orders$/,
            handle: ({ response, body }) => {
                const applied = applyOrder(JSON.parse(body) as EngineOrder);
                answerJson(response, applied ? 200 : 409, applied ? {} : { code: ErrorCode.StaleFencingNumber });
            },
        },
        {
            method: "POST",
            pattern: /^\/leave$/,
            handle: ({ response }) => {
                leaving = true;
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
        leave: () => {
            leaving = true;
        },
        kill,
        [Symbol.asyncDispose]: kill,
    };
};
