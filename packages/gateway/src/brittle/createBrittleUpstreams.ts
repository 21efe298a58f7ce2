import type { UpstreamId } from "@ibislanding/core";
import { createHostHashes } from "../limits/createHostHashes";
import type { Statement } from "../limits/statement";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { BrittleUpstreams } from "./brittleUpstreams";
import type { BrittleUpstreamsOptions } from "./brittleUpstreamsOptions";
import { createBrittleStatements } from "./createBrittleStatements";
import { createSlotShares } from "./createSlotShares";
import { createUsableShare } from "./createUsableShare";
import type { UsableShare } from "./usableShare";

/** Wait if this host's slots of the upstream are in use, and if it has none or other hosts use all. */
const OWN_SLOT_WAIT_MS = 250;
const OTHER_HOSTS_WAIT_MS = 1_000;

/**
 * Time after its start for which a host does not send to upstreams that a peer reports as brittle: other hosts may still use
 * the slots that belong to it from now on.
 */
const START_HOLD_OFF_MS = 2_000;

/**
 * Time for which only few hosts send after the first statement, and after a host had more requests in flight than slots of
 * its own: the usual age of reports in a small and in a large group.
 */
const DRAIN_MS = 700;
const LARGE_GROUP_DRAIN_MS = 1_500;
const LARGE_GROUP_HOSTS = 16;

/** Part of the allowed rejections that these few hosts may cause, as each pauses after a rejection. */
const DRAIN_REJECTION_SHARE = 0.5;

/** Hosts that may send in this time, for each slot that is known to be free once reports show the load since then. */
const DRAIN_HOSTS_PER_SLOT = 2;

/** Age at which a rejection that a peer reports no longer says anything about the current load. */
const REJECTION_LIFETIME_MS = 4_000;

/** A rejection arrives within a round trip; the addition covers the time that both ends take. */
const CONFIRMATION_ROUND_TRIPS = 2;
const CONFIRMATION_ADDITION_MS = 10;

/** Part of this host's slots for which requests may be sent at once; a full upstream rejects all that are on their way. */
const UNCONFIRMED_SHARE = 0.25;

/** Time after an answer or a broken-off request in which the upstream may not have freed the slot yet. */
const RELEASE_MS = 10;
const BROKEN_OFF_RELEASE_MS = 250;

type Start = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

interface Moment {
    /** Monotonic time. */
    readonly atMs: number;
}

/** What this host knows of the requests at one start of an upstream. */
interface Traffic {
    readonly startedAtMs: number;
    readonly usable: UsableShare;
    /** Shared time since which the upstream is restricted at this host. */
    readonly restrictedAtMs: number;
    /** Newest shared time at which a host had more requests in flight than slots of its own; 0 if none is known. */
    exceededAtMs: number;
    /** Sends that may still be rejected. */
    readonly unconfirmed: Set<Moment>;
    /** Ends of requests whose slots are presumed to be free only later. */
    readonly releases: Set<Moment>;
}

const NO_SEND: ReturnType<BrittleUpstreams["trackSend"]> = { confirm: () => undefined, end: () => undefined };

const removeUntil = (moments: Set<Moment>, untilMs: number): void =>
    [...moments].filter(({ atMs }) => atMs <= untilMs).forEach(moment => moments.delete(moment));

/**
 * Creates the restriction of brittle upstreams, with no upstream restricted.
 *
 * Handles an overload of upstreams that crash if they have to reject more than some requests a second. Each slot belongs to
 * one host, which all hosts find without asking each other, so that none sends a request for which there is no slot,
 * whatever their demand and the age of their reports. Rejections then have another cause, such as hosts that disagree on
 * which hosts are live; each reduces the slots in use for some seconds, on all hosts. A crash moves no load to the other
 * upstreams, as their slots remain with the hosts that own them.
 */
export const createBrittleUpstreams = (options: BrittleUpstreamsOptions): BrittleUpstreams => {
    const { clock, sharedNowMs, upstreamsOf } = options;
    const statements = createBrittleStatements(options);
    const traffics = new Map<UpstreamId, Traffic>();
    const hosts = createHostHashes(options);
    const shares = createSlotShares({ ...options, hosts });
    const createdAtMs = clock.monotonicMs();
    let heldOffUntilMs = -Infinity;

    const trafficOf = ({ upstreamId, startedAtMs }: Start): Traffic => {
        const known = traffics.get(upstreamId);
        if (known !== undefined && known.startedAtMs >= startedAtMs) {
            return known;
        }
        const traffic: Traffic = {
            startedAtMs,
            usable: createUsableShare(clock),
            restrictedAtMs: sharedNowMs(),
            exceededAtMs: 0,
            unconfirmed: new Set(),
            releases: new Set(),
        };
        traffics.set(upstreamId, traffic);
        return traffic;
    };

    const drainMs = (): number => hosts().size > LARGE_GROUP_HOSTS ? LARGE_GROUP_DRAIN_MS : DRAIN_MS;

    const isDraining = ({ restrictedAtMs, exceededAtMs }: Traffic): boolean =>
        sharedNowMs() - Math.max(restrictedAtMs, exceededAtMs) < drainMs();

    /** Number of requests on their way to the upstream that it may still reject. */
    const countUnconfirmed = ({ unconfirmed }: Traffic, roundTripMs: number): number => {
        const confirmedAfterMs = CONFIRMATION_ADDITION_MS + CONFIRMATION_ROUND_TRIPS * roundTripMs;
        removeUntil(unconfirmed, clock.monotonicMs() - confirmedAfterMs);
        return unconfirmed.size;
    };

    const restrictedWaitMs = (
        upstream: UpstreamRecord,
        statement: Statement,
        { own, all, roundTripMs }: Parameters<BrittleUpstreams["waitMs"]>[1],
    ): number => {
        const traffic = trafficOf(upstream);
        removeUntil(traffic.releases, clock.monotonicMs());
        const slots = Math.floor(upstream.slots * (traffic.usable.share() + statements.risenShare(statement)));
        const share = shares.shareOf(upstream, slots);
        if (statement.liftedAtMs === undefined && own > shares.shareOf(upstream, upstream.slots)) {
            traffic.exceededAtMs = sharedNowMs();
        }
        const drains = isDraining(traffic);
        // The known load is that of the time before the statement.
        const isLoadKnown = sharedNowMs() - traffic.restrictedAtMs >= drainMs();
        const room = isLoadKnown ? DRAIN_HOSTS_PER_SLOT * (slots - all) / Math.max(1, share) : 0;
        const drainingHosts = Math.max(1, statement.perS * DRAIN_REJECTION_SHARE, room);
        if (share === 0 || all >= slots || drains && !shares.isAmongFirst(upstream, drainingHosts)) {
            return OTHER_HOSTS_WAIT_MS;
        }
        const maximum = drains ? 1 : Math.max(1, Math.min(Math.floor(share * UNCONFIRMED_SHARE), statement.perS));
        const hasRoom = own + traffic.releases.size < share && countUnconfirmed(traffic, roundTripMs) < maximum;
        return hasRoom ? 0 : OWN_SLOT_WAIT_MS;
    };

    const observeRejection: BrittleUpstreams["observeRejection"] = (start, atMs) => {
        if (!statements.isEmpty() && sharedNowMs() - atMs < REJECTION_LIFETIME_MS) {
            const { usable, restrictedAtMs } = trafficOf(start);
            // At first, the upstream rejects for what was sent before the statement was known.
            if (atMs - restrictedAtMs >= DRAIN_MS) {
                usable.observeRejection(atMs, statements.find(start)?.perS ?? 1);
            }
        }
    };

    const isRestricted: BrittleUpstreams["isRestricted"] = service =>
        !statements.isEmpty() && upstreamsOf(service).some(upstream => statements.findInForce(upstream));

    return {
        observe: statements.observe,
        observeRow: ([id, startedAtMs, statedAtMs, perS, rejectedAtMs, exceededAtMs]) => {
            const start = { upstreamId: id as UpstreamId, startedAtMs };
            if (statements.isEmpty() && clock.monotonicMs() - createdAtMs < START_HOLD_OFF_MS) {
                heldOffUntilMs = createdAtMs + START_HOLD_OFF_MS;
            }
            const isChanged = statements.observe(start, perS < 0 ? undefined : perS, statedAtMs);
            if (statements.find(start) !== undefined) {
                observeRejection(start, rejectedAtMs);
                const traffic = trafficOf(start);
                traffic.exceededAtMs = Math.max(traffic.exceededAtMs, exceededAtMs);
            }
            return isChanged;
        },
        observeRejection,
        isRestricted,
        isBrittle: upstream => statements.findInForce(upstream) !== undefined,
        waitMs: (upstream, load) => {
            const statement = statements.findInForce(upstream);
            return statement === undefined
                ? 0
                : Math.max(heldOffUntilMs - clock.monotonicMs(), restrictedWaitMs(upstream, statement, load));
        },
        ownSlots: shares.ownSlots,
        slotOwners: service =>
            isRestricted(service) && hosts().size > LARGE_GROUP_HOSTS ? shares.otherOwners(service) : [],
        trackSend: upstream => {
            if (statements.findInForce(upstream) === undefined) {
                return NO_SEND;
            }
            const { unconfirmed, releases } = trafficOf(upstream);
            const send = { atMs: clock.monotonicMs() };
            unconfirmed.add(send);
            return {
                confirm: () => void unconfirmed.delete(send),
                end: isBrokenOff => {
                    unconfirmed.delete(send);
                    releases.add({ atMs: clock.monotonicMs() + (isBrokenOff ? BROKEN_OFF_RELEASE_MS : RELEASE_MS) });
                },
            };
        },
        rows: () =>
            statements.rows().map(([upstreamId, startedAtMs, statedAtMs, perS]) => {
                const known = traffics.get(upstreamId as UpstreamId);
                const traffic = known?.startedAtMs === startedAtMs ? known : undefined;
                const rejectedAtMs = Math.round(traffic?.usable.rejectedAtMs() ?? 0);
                const exceededAtMs = Math.round(traffic?.exceededAtMs ?? 0);
                return [upstreamId, startedAtMs, statedAtMs, perS, rejectedAtMs, exceededAtMs] as const;
            }),
        retain: isKnown => {
            if (statements.isEmpty()) {
                return;
            }
            statements.retain(isKnown);
            [...traffics]
                .filter(([upstreamId, { startedAtMs }]) => !isKnown({ upstreamId, startedAtMs }))
                .forEach(([upstreamId]) => traffics.delete(upstreamId));
            if (statements.isEmpty()) {
                shares.clear();
            }
        },
    };
};
