import type { ServiceName } from "@ibislanding/core";
import type { KeyValueEntry } from "@ibislanding/platform";
import {
    compareRolloutStates,
    createRolloutOrderId,
    type RolloutOrder,
    type RolloutPhase,
    type RolloutState,
} from "@ibislanding/rollouts";
import type { KnownRollout } from "./knownRollout";
import { parseRolloutState } from "./parseRolloutState";
import type { RolloutRegistry } from "./rolloutRegistry";
import type { RolloutRegistryOptions } from "./rolloutRegistryOptions";

interface ReadOrder {
    readonly value: string;
    readonly revision: number;
    readonly order: RolloutOrder;
}

const FINAL_PHASES: ReadonlySet<RolloutPhase> = new Set(["completed", "rolled-back"]);

const revisionOf = (orderId: string): number => Number(orderId.slice(orderId.lastIndexOf(".") + 1));

/**
 * Creates a registry without rollouts.
 *
 * Handles a store that was restored from a copy: a state never goes back, and an order whose entry came back unchanged is
 * still the same order, although the epoch of the store is another one.
 */
export const createRolloutRegistry = ({ log, documents, onChange }: RolloutRegistryOptions): RolloutRegistry => {
    const { ordersPrefix, decodeOrder } = documents.rollouts;
    const statesPrefix = `${documents.ownPrefix}rollouts/`;
    const orders = new Map<ServiceName, ReadOrder>();
    const states = new Map<ServiceName, RolloutState>();
    const storedStates = new Map<ServiceName, KnownRollout["stored"]>();
    /** Values that were logged as unreadable, by key. */
    const unreadable = new Map<string, string>();

    const rejectEntry = ({ key, value, version }: KeyValueEntry, reason: string): void => {
        if (unreadable.get(key) !== value) {
            unreadable.set(key, value);
            log.write("rollout_entry_rejected", { key, revision: version, reason });
        }
    };

    const readOrder = (entry: KeyValueEntry, epoch: number): ReadOrder | undefined => {
        const decoded = decodeOrder(entry.key, entry.value);
        if (decoded.err) {
            rejectEntry(entry, decoded.val.message);
            return undefined;
        }
        const known = orders.get(decoded.val.service);
        if (known?.value === entry.value && known.revision === entry.version) {
            return known;
        }
        const orderId = createRolloutOrderId(epoch, entry.version);
        return { value: entry.value, revision: entry.version, order: { ...decoded.val, orderId } };
    };

    /** The order, with the id under which it was begun if that was in an earlier epoch of the store. */
    const withKnownId = ({ order, revision }: ReadOrder, state: RolloutState | undefined): RolloutOrder =>
        state?.target === order.target && revisionOf(state.orderId) === revision
            ? { ...order, orderId: state.orderId }
            : order;

    const observeNewest = (state: RolloutState): void => {
        const known = states.get(state.service);
        if (known !== undefined && compareRolloutStates(known, state) > 0) {
            return;
        }
        states.set(state.service, state);
        if (known?.orderId !== state.orderId || known.phase !== state.phase) {
            const { service, target, orderId, phase, share, reason } = state;
            log.write("rollout_phase", { service, target, orderId, phase, share, reason });
        }
    };

    const stateKeyOf = (service: ServiceName): string => `${statesPrefix}${service}`;

    const observeEntry = (service: ServiceName, entry: KeyValueEntry | undefined): void => {
        storedStates.set(service, entry);
        if (entry === undefined) {
            return;
        }
        const state = parseRolloutState(entry.value);
        if (state?.service !== service) {
            rejectEntry(entry, "not the state of a rollout of the service");
            return;
        }
        observeNewest(state);
    };

    const rollouts = (): readonly KnownRollout[] =>
        [...new Set([...orders.keys(), ...states.keys()])].map(service => {
            const state = states.get(service);
            const read = orders.get(service);
            const order = read === undefined ? undefined : withKnownId(read, state);
            return { service, order, state, stored: storedStates.get(service) };
        });

    return {
        observeOrders: ({ entries, epoch }) => {
            const listed = [...entries.values()].filter(({ key }) => key.startsWith(ordersPrefix));
            // An entry that can't be read is ignored: an order that it replaces stays in force.
            const unreadableKeys = new Set<string>();
            const read = listed.flatMap(entry => {
                const order = readOrder(entry, epoch);
                if (order === undefined) {
                    unreadableKeys.add(entry.key);
                }
                return order ?? [];
            });
            [...orders.keys()].filter(service => !unreadableKeys.has(`${ordersPrefix}${service}`)).forEach(service =>
                orders.delete(service)
            );
            read.forEach(order => orders.set(order.order.service, order));
            onChange();
        },
        observeStates: ({ entries }) => {
            [...storedStates.keys()].filter(service => !entries.has(stateKeyOf(service))).forEach(service =>
                observeEntry(service, undefined)
            );
            entries.forEach(entry => observeEntry(entry.key.slice(statesPrefix.length) as ServiceName, entry));
            onChange();
        },
        observeState: (service, entry) => {
            observeEntry(service, entry);
            onChange();
        },
        recordStored: (state, version) => {
            storedStates.set(state.service, { value: JSON.stringify(state), version });
            observeNewest(state);
            onChange();
        },
        rollouts,
        isRollingOut: () =>
            rollouts().some(({ order, state }) =>
                state === undefined || !FINAL_PHASES.has(state.phase)
                || order !== undefined && order.orderId !== state.orderId
            ),
        isCounted: service => orders.has(service) || states.has(service),
        stateKeyOf,
    };
};
