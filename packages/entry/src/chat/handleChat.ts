import { breakOffResponse, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { depositRetries } from "@ibislanding/limits";
import { readBody, sendProblem } from "@ibislanding/runtime";
import {
    type AnswerEvent,
    createAnswerStream,
    createTokenJournal,
    filterResumed,
    type StreamBinding,
    type StreamPosition,
} from "@ibislanding/streams";
import { estimateTokenCount, promptBlockHashes, renderPrompt } from "@ibislanding/upstreams";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Ok, type Result } from "ts-results";
import type { CallerContext } from "../callers/callerContext";
import type { EntryServices } from "../entryServices";
import { permitRetry } from "../limits/permitRetry";
import type { ChatRequest } from "./chatRequest";
import type { ChatResponseWriter } from "./chatResponseWriter";
import { createAnswerPorts } from "./createAnswerPorts";
import { createBufferedChatWriter } from "./createBufferedChatWriter";
import { createStreamedChatWriter } from "./createStreamedChatWriter";
import { parseChatRequest } from "./parseChatRequest";
import type { ResolvedModel } from "./resolvedModel";
import { resolveModel } from "./resolveModel";

const ENGINE_PRIORITIES = { high: 2, normal: 1, low: 0 } as const;

const decodePosition = (
    services: EntryServices,
    header: string | string[] | undefined,
    binding: StreamBinding,
): Result<StreamPosition | undefined, Failure> =>
    typeof header === "string" && header !== "" ? services.eventIds.decode(header, binding) : Ok(undefined);

const createResponseWriter = (
    request: ChatRequest,
    context: CallerContext,
    services: EntryServices,
    response: ServerResponse,
): ChatResponseWriter => {
    const head = {
        requestId: context.requestId,
        callerRequestId: context.callerRequestId,
        model: request.requestedModel,
        createdAtMs: services.clock.wallMs(),
    };
    return request.streamed
        ? createStreamedChatWriter(response, head, request.includeUsage)
        : createBufferedChatWriter(response, head);
};

/** Generates and sends the response to a validated request; returns the failure with which it ended, if any. */
const serveChat = async (
    request: ChatRequest,
    model: ResolvedModel,
    position: StreamPosition | undefined,
    context: CallerContext,
    services: EntryServices,
    response: ServerResponse,
): Promise<Failure | undefined> => {
    const { account } = context;
    const { clock, hasher, metrics, settings } = services;
    const requestId = position?.requestId ?? context.requestId;
    const binding = { accountId: account.name, bodySha256: request.bodySha256 } as StreamBinding;
    const prompt = renderPrompt(request.messages);
    const promptTokens = estimateTokenCount(prompt);
    const journal = createTokenJournal(hasher);
    const abort = new AbortController();
    response.on("close", () => abort.abort());
    const closeForHandover = (): void => breakOffResponse(response);
    services.handover.addEventListener("abort", closeForHandover);

    const ports = createAnswerPorts(services, requestId, {
        service: model.service.name,
        model: request.model,
        modelVersion: undefined,
        adapter: undefined,
        policy: model.service.spec.routingPolicy,
        priority: account.spec.priority,
        firstTokenTargetMs: account.spec.firstTokenTargetMs,
        region: settings.process.region as never,
        promptTokens,
        blockHashes: promptBlockHashes(request.model, prompt, hasher),
        transferBytes: Buffer.byteLength(prompt),
    }, () => permitRetry(services, model.service.name));
    depositRetries(services.limits, model.service.name);
    const events = createAnswerStream({
        request: {
            requestId,
            model: request.requestedModel,
            messages: request.messages,
            maximumTokens: request.maximumTokens,
            temperature: request.temperature,
            seed: request.seed ?? hasher.hash32(requestId),
            priority: ENGINE_PRIORITIES[account.spec.priority],
            detachedGraceMs: settings.streams.detachedGraceMs,
        },
        promptTokens,
        journal,
        resumeFrom: position,
        deadlineMs: context.deadlineMs,
        signal: abort.signal,
    }, ports);

    const writer = createResponseWriter(request, { ...context, requestId }, services, response);
    const startedMs = clock.monotonicMs();
    let lastTokenMs: number | undefined;

    const sendToken = async (event: Extract<AnswerEvent, { type: "token"; }>): Promise<void> => {
        const nowMs = clock.monotonicMs();
        if (lastTokenMs === undefined) {
            metrics.firstTokenMs.record(nowMs - startedMs);
        }
        else {
            metrics.betweenTokensMs.record(nowMs - lastTokenMs);
        }
        lastTokenMs = nowMs;
        metrics.tokens.add();
        const tokenPosition = {
            requestId,
            upstreamId: event.upstreamId,
            tokens: event.index + 1,
            digest: journal.digest(),
        };
        await writer.token(event.text, request.streamed ? services.eventIds.encode(tokenPosition, binding) : "");
    };

    const eventHandlers: {
        readonly [K in AnswerEvent["type"]]: (event: Extract<AnswerEvent, { type: K; }>) => Promise<void> | void;
    } = {
        token: sendToken,
        started: started => {
            metrics.promptTokens.add(started.promptTokens);
            metrics.cachedTokens.add(started.cachedTokens);
            writer.started(started.promptTokens);
        },
        finished: ({ reason, totalTokens }) => writer.finished(reason, totalTokens),
    };

    const send = async (event: Result<AnswerEvent, Failure>): Promise<Failure | undefined> => {
        if (event.err) {
            writer.failed(event.val);
            return event.val;
        }
        await (eventHandlers[event.val.type] as (event: AnswerEvent) => Promise<void> | void)(event.val);
        return undefined;
    };

    const heartbeat = setInterval(writer.heartbeat, settings.streams.heartbeatMs);
    try {
        const resumed = position === undefined ? events : filterResumed(events, journal, position);
        let failure: Failure | undefined;
        for await (const event of resumed) {
            failure = await send(event);
        }
        return failure;
    }
    finally {
        clearInterval(heartbeat);
        services.handover.removeEventListener("abort", closeForHandover);
    }
};

/** Handles `POST /v1/chat/completions`; returns the failure reported to the caller, if any. */
export const handleChat = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    context: CallerContext,
    services: EntryServices,
): Promise<Failure | undefined> => {
    const body = await readBody(incoming, response, services.settings.requests.maximumBodyBytes);
    const request = body.andThen(parseChatRequest);
    const model = request.andThen(parsed => resolveModel(context.configuration, context.account, parsed));
    const position = request.andThen(({ bodySha256 }) =>
        decodePosition(services, incoming.headers["last-event-id"], {
            accountId: context.account.name as StreamBinding["accountId"],
            bodySha256,
        })
    );
    if (request.err || model.err || position.err) {
        const failure = [request, model, position].flatMap(result => (result.err ? [result.val] : []))[0]
            ?? createFailure(ErrorCode.Internal);
        sendProblem(response, failure, context.callerRequestId);
        return failure;
    }
    return serveChat(request.val, model.val, position.val, context, services, response);
};
