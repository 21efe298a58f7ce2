import {
    createHasher,
    createRandom,
    type Hasher,
    type HostId,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import {
    advanceRollout,
    createRolloutOrderId,
    createVersionGate,
    type GateRequest,
    type RolloutBounds,
    type RolloutOrder,
    type RolloutState,
    type VersionEvidence,
} from "@ibislanding/rollouts";

export interface RolloutScenario {
    readonly seed: number;
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly hosts: number;
    readonly upstreams: number;
    readonly routes: number;
    readonly fault: "none" | "immediate" | "slow" | "load" | "route" | "late";
    /** Share of the answers of all versions that fail or are slow, always and within the time of trouble. */
    readonly commonShare: number;
    readonly trouble?: {
        readonly fromMs: number;
        readonly toMs: number;
        readonly share: number;
        readonly isSlow: boolean;
    };
    /** Times without a duty holder. The next one is a host whose evidence has another age. */
    readonly holderGap?: { readonly fromMs: number; readonly toMs: number; };
    /** Time at which one upstream of the target breaks all its answers. */
    readonly crashAtMs?: number;
    readonly readyMs: number;
    readonly answerMs: number;
}

export interface RolloutOutcome {
    readonly phase: RolloutState["phase"];
    readonly reason: string;
    readonly endedAtMs: number;
    readonly toTarget: number;
    readonly total: number;
    /** Requests that were sent to the target later than `rollbackMs` after its 50th bad answer. */
    readonly late: number;
}

interface Event {
    readonly atStep: number;
    readonly version: SoftwareVersion;
    readonly route: number;
    readonly field: "answers" | "failures" | "slow";
    readonly retries: boolean;
}

const SERVICE = "chat" as ServiceName;
export const OLD = "v1" as SoftwareVersion;
export const TARGET = "v2" as SoftwareVersion;
export const BOUNDS: RolloutBounds = { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 };
const STEP_MS = 100;
const ROUND_MS = 300;
/** Part of the usual load of an upstream above which a version that fails under load does so. */
const LOAD_PART = 0.75;
const SLOW_FACTOR = 3;

let hasher: Hasher | undefined;

/** Plays one order: hosts with gates, evidence and states of 0.5 to 2 s of age, and the duty holder with its state as JSON. */
export const simulateRollout = async (scenario: RolloutScenario): Promise<RolloutOutcome> => {
    hasher ??= await createHasher();
    const { ratePerS, durationMs, fault, commonShare, trouble, holderGap, crashAtMs, readyMs, answerMs } = scenario;
    const random = createRandom(scenario.seed);
    const lateMs = readyMs + 2_000 + random.nextInt(1_000);
    const order: RolloutOrder = { orderId: createRolloutOrderId(1, 7), service: SERVICE, target: TARGET, durationMs };
    const upstreamsOf = (version: SoftwareVersion) =>
        Array.from({ length: scenario.upstreams }, (_unused, index) => ({
            upstreamId: `${version}-${index}` as UpstreamId,
            softwareVersion: version,
        }));
    const hosts = Array.from({ length: scenario.hosts }, (_unused, index) => ({
        gate: createVersionGate({ hostId: `h${index}` as HostId, hasher: hasher as Hasher, bounds: BOUNDS }),
        ageMs: 500 + random.nextInt(1_500),
        offsetMs: random.nextInt(ROUND_MS / STEP_MS) * STEP_MS,
    }));
    // Counters at the end of each step, by version and route.
    const counters = new Map<string, VersionEvidence>();
    const history: (readonly VersionEvidence[])[] = [];
    const states: { readonly atMs: number; readonly text: string; }[] = [];
    const events = new Map<number, Event[]>();
    let [toTarget, total, late, bad, fiftiethAtMs] = [0, 0, 0, 0, Infinity];
    const targetSends: number[] = [];
    let running: Event[] = [];
    let usedUpstreams = 1;

    const count = (version: SoftwareVersion, route: number, field: "sent" | Event["field"]): void => {
        const key = `${version} ${route}`;
        const row = counters.get(key)
            ?? { service: SERVICE, version, route: `/r${route}`, sent: 0, answers: 0, failures: 0, slow: 0 };
        counters.set(key, { ...row, [field]: row[field] + 1 });
    };
    const schedule = (event: Event): void => {
        events.set(event.atStep, [...events.get(event.atStep) ?? [], event]);
        running = event.version === TARGET && event.field !== "slow" ? [...running, event] : running;
    };
    const evidenceAt = (atMs: number) => history[Math.floor(atMs / STEP_MS)] ?? [];

    const isFaulty = (nowMs: number, route: number, loadPart: number): boolean => {
        const conditions = {
            none: false,
            immediate: true,
            slow: true,
            load: loadPart >= LOAD_PART,
            route: route === 0,
            late: nowMs >= lateMs,
        };
        return conditions[fault];
    };
    const outcomeOf = (nowMs: number, version: SoftwareVersion, route: number, loadPart: number) => {
        const inTrouble = trouble !== undefined && nowMs >= trouble.fromMs && nowMs < trouble.toMs;
        if (random.nextFloat() < (inTrouble ? trouble.share : commonShare)) {
            return inTrouble && trouble.isSlow ? "slow" : "failures";
        }
        if (version === TARGET && isFaulty(nowMs, route, loadPart)) {
            return fault === "slow" ? "slow" : random.nextFloat() < 0.5 ? "failures" : "answers";
        }
        return "answers";
    };

    const send = (nowMs: number, kind: GateRequest["kind"], route: number, mayRetry: boolean): void => {
        const host = hosts[random.nextInt(hosts.length)];
        const rule = host?.gate.ruleFor({ kind: kind === "retry" ? "retry" : "first", service: SERVICE });
        const isReady = nowMs >= readyMs;
        // Before hosts know the order, they know no upstream of the target; a retry after the promotion may reach any.
        const mayTarget = isReady
            && (rule?.kind === "only" || kind === "retry" && rule?.kind === "any" && random.nextFloat() < 0.5);
        const version = mayTarget ? TARGET : OLD;
        total++;
        count(version, route, "sent");
        let loadPart = 0;
        if (version === TARGET) {
            toTarget++;
            late += nowMs > fiftiethAtMs + BOUNDS.rollbackMs ? 1 : 0;
            targetSends.push(nowMs);
            const recent = targetSends.slice(-1_000).filter(atMs => atMs > nowMs - 1_000).length;
            const used = rule?.kind === "only" ? rule.upstreamIds?.size ?? scenario.upstreams : scenario.upstreams;
            usedUpstreams = used;
            loadPart = recent / used / (ratePerS / scenario.upstreams);
        }
        const outcome = outcomeOf(nowMs, version, route, loadPart);
        const latencyMs = answerMs * (0.5 + random.nextFloat());
        const schedules = {
            answers: [["answers", latencyMs]],
            failures: [["failures", latencyMs / 2]],
            slow: [["slow", SLOW_FACTOR * answerMs], ["answers", 8 * latencyMs]],
        } as const;
        schedules[outcome].forEach(([field, delayMs]) => {
            const atStep = Math.floor((nowMs + delayMs) / STEP_MS) + 1;
            schedule({ atStep, version, route, field, retries: mayRetry && field === "failures" });
        });
    };

    const settle = (nowMs: number, { version, route, field, retries }: Event): void => {
        count(version, route, field);
        if (field === "failures") {
            count(version, route, "answers");
        }
        bad += version === TARGET && field !== "answers" ? 1 : 0;
        fiftiethAtMs = bad >= 50 ? Math.min(fiftiethAtMs, nowMs) : fiftiethAtMs;
        if (retries) {
            send(nowMs, "retry", route, false);
        }
    };

    const lead = (nowMs: number): void => {
        if (holderGap !== undefined && nowMs >= holderGap.fromMs && nowMs < holderGap.toMs) {
            return;
        }
        const holder = hosts[holderGap !== undefined && nowMs >= holderGap.toMs ? 1 : 0];
        const stored = states.at(-1);
        const state = stored === undefined ? undefined : JSON.parse(stored.text) as RolloutState;
        const next = advanceRollout({
            state,
            order,
            hasService: true,
            evidence: holder?.gate.evidenceOf(SERVICE) ?? [],
            upstreams: [...upstreamsOf(OLD), ...(nowMs >= readyMs ? upstreamsOf(TARGET) : [])],
            oldStreams: 1,
            bounds: BOUNDS,
            nowMs,
        });
        if (JSON.stringify(next) !== stored?.text) {
            states.push({ atMs: nowMs, text: JSON.stringify(next) });
        }
    };

    for (let nowMs = 0, step = 0; nowMs <= durationMs; nowMs += STEP_MS, step++) {
        const due = events.get(step) ?? [];
        due.forEach(event => settle(nowMs, event));
        running = running.filter(({ atStep }) => atStep > step);
        if (crashAtMs !== undefined && step === Math.floor(crashAtMs / STEP_MS)) {
            running.filter(() => random.nextFloat() < 1 / usedUpstreams).forEach(event => {
                events.set(event.atStep, (events.get(event.atStep) ?? []).filter(other => other !== event));
                settle(nowMs, { ...event, field: "failures", retries: true });
            });
        }
        history.push([...counters.values()]);
        hosts.filter(({ offsetMs }) => (nowMs + offsetMs) % ROUND_MS === 0).forEach(({ gate, ageMs }) => {
            const seen = states.findLast(({ atMs }) => atMs <= nowMs - ageMs / 2);
            gate.update({
                service: SERVICE,
                order: nowMs >= ageMs / 2 ? order : undefined,
                state: seen === undefined ? undefined : JSON.parse(seen.text) as RolloutState,
                stateAgeMs: ageMs / 2,
                evidence: evidenceAt(nowMs - ageMs),
                upstreams: [...upstreamsOf(OLD), ...(nowMs >= readyMs ? upstreamsOf(TARGET) : [])],
                nowMs,
            });
        });
        if (nowMs % ROUND_MS === 0) {
            lead(nowMs);
        }
        const expected = ratePerS * STEP_MS / 1_000;
        const arrivals = Math.floor(expected) + (random.nextFloat() < expected % 1 ? 1 : 0);
        Array.from({ length: arrivals }).forEach(() => send(nowMs, "first", random.nextInt(scenario.routes), true));
    }
    const last = JSON.parse(states.at(-1)?.text ?? "{}") as RolloutState;
    return { phase: last.phase, reason: last.reason, endedAtMs: last.phaseSinceMs, toTarget, total, late };
};
