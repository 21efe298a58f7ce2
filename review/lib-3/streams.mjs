// Streams of events whose text tells which service and version wrote it, and clients that take them up.
import { newAttemptId, sendAttempt, sleep } from "./world.mjs";

export const EVENTS = 40;
const EVENT_INTERVAL_MS = 60;

export const HOST_NAME = "chat.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";

/** Answers a request with the events after `Last-Event-Id`, as a replica of a resumable service does. */
export const runStream = async ({ service, version, requestId, id }, request, response) => {
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    response.writeHead(200, {
        "Attempt-Id": requestId, "Replica-Signature": `${id}.${requestId}`, "Content-Type": "text/event-stream",
    });
    for (let number = from; number <= EVENTS && !response.destroyed; number++) {
        response.write(`id: ${number}\ndata: ${service} ${version} piece ${number}\n\n`);
        await sleep(EVENT_INTERVAL_MS);
    }
    response.end();
};

/** The whole events of a body, in order: the id, and the service and version that wrote it. */
export const readEvents = body =>
    [...body.matchAll(/id: (\d+)\ndata: (\S+ \S+) piece \d+\n\n/g)].map(([, id, writer]) => ({ id: Number(id), writer }));

export const configOf = ({ version = 7, routes, services }) => ({
    Version: version,
    Routes: routes,
    Services: services.map(name => ({
        Name: name, HealthPath: "/health", MaxConnections: 370, Protocol: "h1", Tls: false,
    })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{
        Name: "hule930", ApiKeys: [KEY], Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 820000, Burst: 820000,
    }],
});

export const streamRoute = target => ({
    Name: "r-chat", Host: HOST_NAME, PathPrefix: "/chat/", RouteKind: "streaming", TimeoutMs: 15000,
    TargetLatencyMs: 600, Priority: 0, MaxAttempts: 2, AllowAnonymous: false, Sticky: true, Resumable: true,
    GapTargetMs: 400, ...target,
});

/**
 * A client that asks for a stream at the first port and, after a broken channel, takes it up at the others with `Last-Event-Id`,
 * until the stream is whole or its deadline has passed. Refusals (503, 429) are waited out as told.
 */
export const followStream = async ({ ports, deadlineMs = 12_000, record, namesAttempt = true, onEvents }) => {
    const untilMs = performance.now() + deadlineMs;
    const events = [];
    const answers = [];
    let previousId;
    for (let attempt = 0; performance.now() < untilMs - 500; attempt++) {
        const attemptId = newAttemptId();
        const leftMs = Math.floor(untilMs - performance.now());
        const lastId = events.at(-1)?.id;
        const result = await sendAttempt({
            port: ports[Math.min(attempt, ports.length - 1)],
            path: "/chat/42",
            headers: {
                "Host": HOST_NAME, "Attempt-Id": attemptId, "Model": "m", "Token-Count": "146,80",
                "Prompt-Prefix": "5c1e07a2:80,91bd3f06:66", "Request-Deadline": String(leftMs),
                "Authorization": `Token ${KEY}`,
                ...(lastId === undefined ? {} : { "Last-Event-Id": String(lastId) }),
                ...(lastId === undefined || !namesAttempt ? {} : { "Resumes": previousId }),
            },
            body: "{}",
            timeoutMs: leftMs,
            onText: body => onEvents?.([...events, ...readEvents(body)]),
        });
        const received = readEvents(result.body);
        const end = result.isComplete ? "complete" : result.error ?? "broken off";
        record(`client attempt ${attemptId} at port ${ports[Math.min(attempt, ports.length - 1)]}`
            + ` last-event-id=${lastId ?? "-"}: ${result.status ?? "no answer"}, ${received.length} events, ${end}`);
        answers.push({ status: result.status, events: received.length });
        if (result.status === 200) {
            events.push(...received);
            previousId = received.length > 0 ? attemptId : previousId;
            if (result.isComplete) {
                return { events, answers, isWhole: true };
            }
            continue;
        }
        const retryAfterS = Number(result.headers["retry-after"] ?? 0.1);
        await sleep(Math.min(retryAfterS * 1000, leftMs / 3));
    }
    return { events, answers, isWhole: false };
};

/** What is wrong with the pieces of a stream that was answered to its end; undefined if nothing is. */
export const findStreamFault = ({ events, isWhole }) => {
    if (!isWhole) {
        return undefined;
    }
    const writers = [...new Set(events.map(({ writer }) => writer))];
    if (events.some(({ id }, index) => id !== index + 1) || events.length !== EVENTS) {
        return `pieces ${events.map(({ id }) => id).join(",")}`;
    }
    return writers.length > 1
        ? `joined from ${writers.map(writer => `${writer} (${events.filter(event => event.writer === writer).length} pieces)`).join(" and ")}`
        : undefined;
};
