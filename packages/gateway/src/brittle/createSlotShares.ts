import type { Clock, Hasher, ServiceName, UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { orderForSlots } from "./orderForSlots";
import type { SlotShares } from "./slotShares";

/** Time for which a division is used before upstreams and hosts are compared with it again. */
const CHECK_INTERVAL_MS = 300;

/**
 * Time for which a host does not use more than its previous share after a change of hosts or upstreams: until then, others
 * may not know of the change and use theirs. This is the greatest age of reports in a large group.
 */
const HOLD_OFF_MS = 2_000;

interface Division {
    readonly hostCount: number;
    readonly positions: ReadonlyMap<UpstreamId, number>;
    /** Hosts that have at least one slot. */
    readonly owners: ReadonlySet<string>;
    /** Monotonic time at which another division replaced it. */
    endedAtMs: number;
}

interface ServiceShares {
    readonly key: string;
    readonly hosts: ReadonlyMap<string, number>;
    checkedAtMs: number;
    /** The division in force, after those that it replaced within the hold-off. */
    readonly divisions: readonly Division[];
}

interface Options {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly ownAddress: string;
    readonly hosts: () => ReadonlyMap<string, number>;
    readonly upstreamsOf: (service: ServiceName) => readonly UpstreamRecord[];
}

const shareAt = (position: number, slots: number, hostCount: number): number =>
    Math.floor(slots / hostCount) + (position < slots % hostCount ? 1 : 0);

/**
 * Creates the division of upstreams' slots among hosts.
 *
 * Handles reports that are older than most requests last: a slot that belongs to one host is used without knowledge of the
 * other hosts' load, so an upstream is never full for a host that has a slot.
 */
export const createSlotShares = ({ clock, hasher, ownAddress, hosts, upstreamsOf }: Options): SlotShares => {
    const services = new Map<ServiceName, ServiceShares>();

    const divide = (service: ServiceName, known: ServiceShares | undefined): ServiceShares => {
        const nowMs = clock.monotonicMs();
        const hostHashes = hosts();
        const records = upstreamsOf(service);
        const key = records.map(({ upstreamId, slots }) => `${upstreamId} ${slots}`).sort().join();
        if (known !== undefined && known.key === key && known.hosts === hostHashes) {
            known.checkedAtMs = nowMs;
            return known;
        }
        const orders = orderForSlots(
            records.map(({ upstreamId, slots }) => ({ upstreamId, slots, idHash: hasher.hash32(upstreamId) })),
            hostHashes,
        );
        const earlier = (known?.divisions ?? []).filter(({ endedAtMs }) => nowMs - endedAtMs < HOLD_OFF_MS);
        earlier.filter(({ endedAtMs }) => endedAtMs === Infinity).forEach(division => {
            division.endedAtMs = nowMs;
        });
        const current = {
            hostCount: hostHashes.size,
            positions: new Map([...orders].map(([upstreamId, order]) => [upstreamId, order.indexOf(ownAddress)])),
            owners: new Set(records.flatMap(({ upstreamId, slots }) => orders.get(upstreamId)?.slice(0, slots) ?? [])),
            endedAtMs: Infinity,
        };
        return { key, hosts: hostHashes, checkedAtMs: nowMs, divisions: [...earlier, current] };
    };

    const divisionsOf = (service: ServiceName): readonly Division[] => {
        const known = services.get(service);
        if (known !== undefined && clock.monotonicMs() - known.checkedAtMs < CHECK_INTERVAL_MS) {
            return known.divisions;
        }
        const next = divide(service, known);
        services.set(service, next);
        return next.divisions;
    };

    const shareOf: SlotShares["shareOf"] = ({ service, upstreamId }, slots) => {
        const nowMs = clock.monotonicMs();
        const shares = divisionsOf(service)
            .filter(({ endedAtMs }) => nowMs - endedAtMs < HOLD_OFF_MS)
            .flatMap(({ positions, hostCount }) => {
                const position = positions.get(upstreamId);
                return position === undefined || position < 0 ? [] : [shareAt(position, slots, hostCount)];
            });
        return shares.length === 0 ? 0 : Math.min(...shares);
    };

    const ownSlots: SlotShares["ownSlots"] = service =>
        upstreamsOf(service).reduce((sum, record) => sum + shareOf(record, record.slots), 0);

    return {
        shareOf,
        isAmongFirst: ({ service, upstreamId }, count) =>
            divisionsOf(service).every(({ positions }) => (positions.get(upstreamId) ?? 0) < count),
        ownSlots,
        otherOwners: service => {
            if (ownSlots(service) > 0) {
                return [];
            }
            const [first, ...others] = divisionsOf(service).map(({ owners }) => owners);
            return [...first ?? []].filter(address =>
                address !== ownAddress && others.every(owners => owners.has(address))
            );
        },
        clear: () => services.clear(),
    };
};
