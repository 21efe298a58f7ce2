// Guards against a stream that goes on at another version of the software because its origin was taken from the wrong
// attempt, from another account's request with the same id, or from a host that knows less than the others.
import {
    type AccountId,
    createFakeClock,
    createHasher,
    type RequestId,
    type ServiceName,
    type SoftwareVersion,
} from "@ibislanding/core";
import { STREAM_LIFETIME_MS, type StreamOrigin } from "@ibislanding/gateway";
import { Err, Ok } from "ts-results";
import { createStreamOriginStore } from "../src/createStreamOriginStore";
import type { StreamOriginStore } from "../src/streamOriginStore";

const ACCOUNT = "acme" as AccountId;
const SERVICE = "orders" as ServiceName;
const REQUEST = "r1" as RequestId;
const [V1, V2] = ["v1" as SoftwareVersion, "v2" as SoftwareVersion];

const unreachable = Err({ code: "peer_unavailable" as never, message: "" });

/** Hosts that reach each other, except those that are lost or hang. */
const createGroup = async (size: number) => {
    const clock = createFakeClock();
    /** Hosts that have not heard of the second version, and the time since the store or a peer confirmed the versions. */
    const outOfStep = new Set<string>();
    const state = { confirmedAgeMs: 0 };
    const hasher = await createHasher();
    const addresses = Array.from({ length: size }, (_, index) => `10.0.0.${index}:1`);
    /** Hosts that can't be reached, and hosts that take calls and never reply. */
    const lost = new Set<string>();
    const hanging = new Set<string>();
    const stores = new Map<string, StreamOriginStore>();
    addresses.forEach(ownAddress =>
        stores.set(
            ownAddress,
            createStreamOriginStore({
                clock,
                hasher,
                ownAddress,
                hostAddresses: () => addresses,
                exchange: () => ({
                    recordStreamOrigin: async (address, origin) => {
                        if (lost.has(address)) {
                            return unreachable;
                        }
                        stores.get(address)?.remember(origin);
                        return Ok({});
                    },
                    findStreamOrigin: async (address, query) => {
                        await (hanging.has(address) ? new Promise(() => undefined) : undefined);
                        const reply = lost.has(address) ? undefined : stores.get(address)?.reply(query);
                        return reply === undefined ? unreachable : Ok(reply);
                    },
                }),
                versionsOf: () => [
                    { softwareVersion: V1, knownForMs: Infinity },
                    ...outOfStep.has(ownAddress) ? [] : [{ softwareVersion: V2, knownForMs: 1 }],
                ],
                confirmedAgeMs: () => outOfStep.has(ownAddress) ? state.confirmedAgeMs : 0,
                hasPeers: () => size > 1,
                areVersionsRead: () => false,
                onUnrecorded: () => undefined,
            }),
        )
    );
    const [first, ...others] = addresses.flatMap(address => stores.get(address) ?? []);
    if (first === undefined) {
        throw new Error("no host");
    }
    return { clock, addresses, lost, hanging, outOfStep, state, first, others };
};

const origin = (fields: Partial<StreamOrigin> = {}): StreamOrigin => ({
    requestId: REQUEST,
    accountId: ACCOUNT,
    service: SERVICE,
    softwareVersion: V1,
    attempt: 1,
    ...fields,
});

test("every host finds an origin, although the host that recorded it was lost", async () => {
    const { addresses, lost, first, others } = await createGroup(8);
    await first.record(origin());
    lost.add(addresses[0] ?? "");
    const found = await Promise.all(others.map(store => store.find(REQUEST, ACCOUNT, SERVICE)));
    expect(found.map(knowledge => knowledge.origin?.softwareVersion)).toEqual(others.map(() => V1));
});

test("the last attempt counts, whichever host knows it and in whatever order it is told", async () => {
    const { addresses, lost, first, others } = await createGroup(8);
    await first.record(origin());
    // Half of the hosts miss the second attempt.
    addresses.filter((_, index) => index % 2 === 1).forEach(address => lost.add(address));
    await first.record(origin({ softwareVersion: V2, attempt: 2 }));
    lost.clear();
    others.forEach(store => store.remember({ ...origin({ softwareVersion: V1, attempt: 1 }), accountId: ACCOUNT }));
    lost.add(addresses[0] ?? "");
    const found = await Promise.all(others.map(store => store.find(REQUEST, ACCOUNT, SERVICE)));
    expect(found.map(knowledge => knowledge.origin?.softwareVersion).filter(version => version === V1)).toEqual([]);
});

test("another account's request with the same id changes nothing and learns nothing", async () => {
    const { first, others } = await createGroup(8);
    const other = "other" as AccountId;
    await first.record(origin());
    await others[0]?.record(origin({ accountId: other, softwareVersion: V2 }));
    expect((await others[1]?.find(REQUEST, ACCOUNT, SERVICE))?.origin?.softwareVersion).toBe(V1);
    expect((await others[1]?.find(REQUEST, other, SERVICE))?.origin?.softwareVersion).toBe(V2);
    expect((await others[1]?.find(REQUEST, undefined, SERVICE))?.origin).toBeUndefined();
});

test("a host that does not answer leaves it open whether the stream would be known", async () => {
    const { addresses, lost, first, others } = await createGroup(4);
    expect((await first.find(REQUEST, ACCOUNT, SERVICE)).peerVersions).toContain(V2);
    addresses.slice(2).forEach(address => lost.add(address));
    expect((await others[0]?.find(REQUEST, ACCOUNT, SERVICE))?.recordedForMs).toBe(0);
});

test("a host that hangs does not hold up a stream of the only version", async () => {
    const { clock, addresses, hanging, outOfStep, others } = await createGroup(5);
    await clock.advance(STREAM_LIFETIME_MS);
    addresses.forEach(address => outOfStep.add(address));
    hanging.add(addresses[4] ?? "");
    const finding = others[0]?.find(REQUEST, ACCOUNT, SERVICE);
    await clock.advance(100);
    expect(await finding).toMatchObject({ areVersionsComplete: true, areVersionsCurrent: true });
});

// A host that stood still, or was cut off from the store and the others, while a second version came.
test("a stream that began at the second version is found by a host that has not heard of that version", async () => {
    const { clock, addresses, outOfStep, state, first, others } = await createGroup(8);
    await clock.advance(STREAM_LIFETIME_MS);
    outOfStep.add(addresses[1] ?? "");
    state.confirmedAgeMs = 5_000;
    await first.record(origin({ softwareVersion: V2 }));
    expect((await others[0]?.find(REQUEST, ACCOUNT, SERVICE))?.origin?.softwareVersion).toBe(V2);
});

// A host whose list was confirmed just before the second version came, and has not been since.
test("a stream that began at a version that came within the last second is found", async () => {
    const { clock, addresses, outOfStep, state, first, others } = await createGroup(8);
    await clock.advance(STREAM_LIFETIME_MS);
    outOfStep.add(addresses[1] ?? "");
    state.confirmedAgeMs = 300;
    await first.record(origin({ softwareVersion: V2 }));
    expect((await others[0]?.find(REQUEST, ACCOUNT, SERVICE))?.origin?.softwareVersion).toBe(V2);
});

test.each([2, 8])(
    "of %d hosts, one that is cut off from all others does not take the version that it knows for the only one",
    async size => {
        const { clock, addresses, lost, outOfStep, state, others } = await createGroup(size);
        await clock.advance(STREAM_LIFETIME_MS);
        outOfStep.add(addresses[1] ?? "");
        state.confirmedAgeMs = 5_000;
        addresses.forEach(address => lost.add(address));
        const finding = others[0]?.find("not recorded" as RequestId, ACCOUNT, SERVICE);
        await clock.advance(1_000);
        const unknown = { origin: undefined, peerVersions: [], areVersionsComplete: true, areVersionsCurrent: false };
        expect(await finding).toMatchObject(unknown);
    },
);

test("a host whose versions were just confirmed takes the only one for the only one, although a host is gone", async () => {
    const { clock, addresses, lost, outOfStep, state, others } = await createGroup(8);
    await clock.advance(STREAM_LIFETIME_MS);
    addresses.forEach(address => outOfStep.add(address));
    state.confirmedAgeMs = 300;
    addresses.slice(2, 6).forEach(address => lost.add(address));
    const finding = others[0]?.find(REQUEST, ACCOUNT, SERVICE);
    await clock.advance(1_000);
    expect(await finding).toMatchObject({ areVersionsComplete: true, areVersionsCurrent: true });
});

test("a host that is gone leaves the only version the only one, several that do not answer do not", async () => {
    const { clock, addresses, lost, outOfStep, state, others } = await createGroup(5);
    await clock.advance(STREAM_LIFETIME_MS);
    addresses.forEach(address => outOfStep.add(address));
    state.confirmedAgeMs = 5_000;
    const find = async () => {
        const finding = others[0]?.find(REQUEST, ACCOUNT, SERVICE);
        await clock.advance(1_000);
        return (await finding)?.areVersionsCurrent;
    };
    lost.add(addresses[4] ?? "");
    expect(await find()).toBe(true);
    lost.add(addresses[3] ?? "");
    expect(await find()).toBe(false);
});
