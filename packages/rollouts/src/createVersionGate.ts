import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import { compareOrderIds } from "./compareOrderIds";
import { compareRolloutStates } from "./compareRolloutStates";
import type { EvidenceSeries } from "./evidenceSeries";
import type { GateEntry } from "./gateEntry";
import type { GateKnowledge } from "./gateKnowledge";
import type { GateMode } from "./gateMode";
import type { GateRequest } from "./gateRequest";
import { judgeVersion } from "./judgeVersion";
import { permittedShare } from "./permittedShare";
import { recordEvidence } from "./recordEvidence";
import { reportAgeMs } from "./reportAgeMs";
import type { RolloutPhase } from "./rolloutPhase";
import type { RolloutState } from "./rolloutState";
import { selectCanaryUpstreams } from "./selectCanaryUpstreams";
import type { VersionGate } from "./versionGate";
import type { VersionGateOptions } from "./versionGateOptions";
import type { VersionRule } from "./versionRule";

const HASH_RANGE = 2 ** 32;

/** Credit that is kept while the target has no place, so that it does not get a burst afterwards. */
const MAXIMUM_CREDIT = 1;

interface FirstSend {
    readonly rule: VersionRule;
    readonly credit: number;
}

const ANY: VersionRule = { kind: "any" };

const MODES: Readonly<Record<RolloutPhase, GateMode>> = {
    canary: "share",
    ramp: "share",
    promoting: "promoted",
    completed: "promoted",
    "rolled-back": "excluding",
};

/** The promotion is not joined on an old state, such as one read after a restart: the roll-back may have followed. */
const modeOf = (state: RolloutState | undefined, isStale: boolean, known: GateMode | undefined): GateMode =>
    state?.phase === "promoting" && isStale && known !== "promoted" ? "share" : MODES[state?.phase ?? "canary"];

const newest = (known: RolloutState | undefined, heard: RolloutState | undefined): RolloutState | undefined => {
    if (known === undefined || heard === undefined) {
        return heard ?? known;
    }
    return compareRolloutStates(heard, known) < 0 ? known : heard;
};

const except = (versions: ReadonlySet<SoftwareVersion>): VersionRule =>
    versions.size === 0 ? ANY : { kind: "except", versions };

/** Versions that an order without a state of its own inherits as excluded. */
const excludedBefore = (state: RolloutState, target: SoftwareVersion): readonly SoftwareVersion[] =>
    [...state.excluded, ...(MODES[state.phase] === "share" || state.phase === "promoting" ? [state.target] : [])]
        .filter(version => version !== target);

/** The series of a host that knew the order from its start, or one that begins with the counters of the state. */
const seriesOf = (known: GateEntry | undefined, state: RolloutState | undefined): EvidenceSeries => {
    if (known !== undefined) {
        return known.evidence;
    }
    return state === undefined ? [] : [{ atMs: state.startedAtMs, rows: state.evidenceAtStart }];
};

/**
 * Creates a gate that knows no order, and returns `any` for all requests.
 *
 * Handles hosts with few requests: each earns a credit of the share with every new request and spends 1 for each request
 * to the target, so that its share holds exactly. The first credit is a hash of host and order in [0, 1), so that the
 * requests of many hosts with less than one each also add up to the share.
 */
export const createVersionGate = ({ hostId, hasher, bounds }: VersionGateOptions): VersionGate => {
    const entries = new Map<ServiceName, GateEntry>();

    const update = (knowledge: GateKnowledge): void => {
        const { service, order, stateAgeMs, upstreams, nowMs } = knowledge;
        const earlier = entries.get(service);
        const state = newest(earlier?.state, knowledge.state);
        const candidates = [earlier, order, state].filter(candidate => candidate !== undefined);
        const latest = candidates.sort((left, right) => compareOrderIds(right.orderId, left.orderId))[0];
        if (latest === undefined) {
            return;
        }
        const { orderId, target } = latest;
        const known = earlier?.orderId === orderId ? earlier : undefined;
        const current = state?.orderId === orderId ? state : undefined;
        const evidence = recordEvidence(seriesOf(known, current), { atMs: nowMs, rows: knowledge.evidence });
        const permitted = permittedShare({ state: current, stateAgeMs, evidence, bounds, nowMs });
        const isLocallyBad = known?.isLocallyBad === true
            || permitted === 0 && judgeVersion(target, evidence).kind === "bad";
        const inherited = state === undefined ? [] : excludedBefore(state, target);
        const excluded = new Set([
            ...(current?.excluded ?? inherited),
            ...(isLocallyBad && current?.phase !== "completed" ? [target] : []),
        ]);
        const withoutTarget = new Set([...excluded, target]);
        // Without another version that may be used, the target is the one that carries the traffic.
        const hasOthers = upstreams.some(({ softwareVersion }) => !withoutTarget.has(softwareVersion));
        const isStale = stateAgeMs > reportAgeMs;
        const mode = excluded.has(target) || !hasOthers ? "excluding" : modeOf(current, isStale, known?.mode);
        const targetIds = upstreams.flatMap(({ upstreamId, softwareVersion }) =>
            softwareVersion === target ? [upstreamId] : []
        );
        const share = excluded.has(target) ? 0 : Math.min(permitted, isStale ? known?.share ?? 0 : 1);
        entries.set(service, {
            orderId,
            target,
            state,
            evidence,
            isLocallyBad,
            share,
            mode,
            excluded,
            withoutTarget,
            canaryIds: targetIds.length === 0
                ? new Set()
                : selectCanaryUpstreams(hasher, orderId, targetIds, share),
            credit: known?.credit ?? hasher.hash32(`${orderId} ${hostId}`) / HASH_RANGE,
        });
    };

    const setCredit = (service: ServiceName, entry: GateEntry, credit: number): void => {
        entries.set(service, { ...entry, credit });
    };

    const only = (
        version: SoftwareVersion,
        { excluded }: GateEntry,
        upstreamIds?: GateEntry["canaryIds"],
    ): VersionRule => ({ kind: "only", version, upstreamIds, excluded });

    /** Rule of the first send of a request, and the credit that is left after it. */
    const firstSends: Readonly<Record<GateMode, (entry: GateEntry) => FirstSend>> = {
        share: entry => {
            const credit = entry.credit + entry.share;
            return credit < 1 || entry.share === 0 || entry.canaryIds.size === 0
                ? { rule: except(entry.withoutTarget), credit: Math.min(MAXIMUM_CREDIT, credit) }
                : { rule: only(entry.target, entry, entry.canaryIds), credit: credit - 1 };
        },
        promoted: entry => ({ rule: only(entry.target, entry), credit: entry.credit }),
        excluding: ({ excluded, credit }) => ({ rule: except(excluded), credit }),
    };

    const chargeFirstSend = (service: ServiceName, entry: GateEntry): VersionRule => {
        const { rule, credit } = firstSends[entry.mode](entry);
        if (credit !== entry.credit) {
            setCredit(service, entry, credit);
        }
        return rule;
    };

    /** After a failure, another version may be tried; while the target is promoted, its answers help to judge the target. */
    const retryRules: Readonly<Record<GateMode, (entry: GateEntry) => VersionRule>> = {
        share: ({ withoutTarget }) => except(withoutTarget),
        promoted: ({ excluded }) => except(excluded),
        excluding: ({ excluded }) => except(excluded),
    };

    const resume = (service: ServiceName, entry: GateEntry, version: SoftwareVersion): VersionRule => {
        if (entry.excluded.has(version)) {
            return except(entry.excluded);
        }
        if (entry.mode === "share" && version === entry.target) {
            setCredit(service, entry, entry.credit - 1);
        }
        return only(version, entry);
    };

    const rules = {
        first: ({ service }: GateRequest, entry: GateEntry) => chargeFirstSend(service, entry),
        retry: (_request: GateRequest, entry: GateEntry) => retryRules[entry.mode](entry),
    };

    return {
        update,
        ruleFor: request => {
            const entry = entries.get(request.service);
            if (entry === undefined) {
                return ANY;
            }
            return request.kind === "resume"
                ? resume(request.service, entry, request.version)
                : rules[request.kind](request, entry);
        },
        peekRule: service => {
            const entry = entries.get(service);
            return entry === undefined ? ANY : firstSends[entry.mode](entry).rule;
        },
        shareOf: service => entries.get(service)?.share,
        evidenceOf: service => entries.get(service)?.evidence ?? [],
    };
};
