import type { Region, Revision, UpstreamId } from "@ibislanding/core";
import {
    abandonStart,
    choiceKey,
    confirmStart,
    defaultPlacementPolicy,
    emptyServicePlan,
    type ObservedUpstream,
    type PlacementInput,
    planPlacement,
    type ServicePlan,
} from "@ibislanding/placement";

const ZONES = ["finistere", "ille-vilaine", "morbihan"];

const machineClass = {
    prefillTokensPerSecond: 1_000,
    concurrentSequences: 4,
    pricePerHour: 3,
    reclaimablePricePerHour: 1,
    crossRegionPricePerGigabyte: 0,
    zonePrices: [],
};

const baseInput: PlacementInput = {
    nowMs: 1_000,
    revision: 1 as Revision,
    placement: {
        service: "letters",
        minimumReplicas: 1,
        maximumReplicas: 12,
        availabilityZones: ZONES,
        machineClasses: ["small"],
        reclaimableShare: 1,
        spareZones: 1,
    },
    machineClasses: new Map([["small", machineClass]]),
    models: [],
    adapters: [],
    plan: emptyServicePlan("letters"),
    upstreams: [],
    reclaimDeadlinesMs: new Map(),
    demand: { concurrentSequences: 6, prefillTokensPerSecond: 0 },
    recentPeakDemand: undefined,
    refusedChoiceKeys: new Set(),
    policy: defaultPlacementPolicy,
};

const startAll = (plan: ServicePlan): ServicePlan =>
    plan.replicas.filter(({ upstreamId }) => upstreamId === undefined).reduce(
        (started, { incarnation }) => confirmStart(started, incarnation, `host-${incarnation}` as UpstreamId),
        plan,
    );

const observe = (plan: ServicePlan, leavingZone?: string): readonly ObservedUpstream[] =>
    plan.replicas.flatMap(({ upstreamId, choice }) =>
        upstreamId === undefined ? [] : [{
            record: {
                ...choice,
                upstreamId,
                kind: "service",
                service: "letters",
                url: "http://10.0.0.1:80",
                region: "bretagne" as Region,
                phase: choice.availabilityZone === leavingZone ? "leaving" : "live",
            },
        }]
    );

/** Returns a plan whose replicas are all live. */
const livePlan = (input: PlacementInput = baseInput): ServicePlan => {
    const started = startAll(planPlacement(input).plan);
    return planPlacement({ ...input, plan: started, upstreams: observe(started) }).plan;
};

const choices = (plan: ServicePlan, phase: string): readonly string[] =>
    plan.replicas.filter(replica => replica.phase === phase).map(({ choice }) => choiceKey(choice)).sort();

describe("planPlacement", () => {
    it("starts the cheapest replicas that survive the loss of a zone, and then keeps the plan unchanged", () => {
        const plan = livePlan();
        expect(choices(plan, "live")).toEqual(ZONES.map(zone => `${zone}/small/reclaimable`));
        const { plan: next, conditions } = planPlacement({ ...baseInput, plan, upstreams: observe(plan) });
        expect(next).toBe(plan);
        expect(conditions).toMatchObject({ carriesDemand: true, survivesZoneLoss: true, pricePerHour: 3 });
    });

    it("replaces the replicas of a leaving zone, with on-demand hosts where reclaimable starts are refused", () => {
        const plan = livePlan();
        const refusedKeys = new Set(ZONES.map(zone => `${zone}/small/reclaimable`));
        const { plan: next } = planPlacement({
            ...baseInput,
            plan,
            upstreams: observe(plan, "finistere"),
            refusedChoiceKeys: refusedKeys,
        });
        expect(choices(next, "draining")).toEqual(["finistere/small/reclaimable"]);
        expect(choices(next, "starting")).toEqual(["finistere/small/on-demand"]);
    });

    it("drains a surplus replica only after the demand was lower for long enough", () => {
        const plan = livePlan({ ...baseInput, demand: { concurrentSequences: 12, prefillTokensPerSecond: 0 } });
        const input = { ...baseInput, plan, upstreams: observe(plan) };
        expect(planPlacement(input).plan).toBe(plan);
        const { plan: next } = planPlacement({ ...input, recentPeakDemand: baseInput.demand });
        expect(choices(next, "draining")).toHaveLength(1);
        expect(choices(next, "starting")).toEqual([]);
    });

    it("keeps the plan while a started host is not yet listed, and never reuses an incarnation", () => {
        const first = planPlacement(baseInput).plan;
        const started = startAll(first);
        expect(planPlacement({ ...baseInput, plan: started }).plan).toBe(started);
        const abandoned = abandonStart(first, 1);
        const { plan: next } = planPlacement({ ...baseInput, plan: abandoned });
        expect(next.replicas.map(({ incarnation }) => incarnation)).toEqual([2, 3, 4]);
    });

    it("adopts unknown upstreams, except those that may result from an unanswered start", () => {
        const foreign = livePlan();
        expect(planPlacement({ ...baseInput, upstreams: observe(foreign) }).plan.replicas).toHaveLength(3);
        const unanswered = planPlacement(baseInput).plan;
        const { plan } = planPlacement({ ...baseInput, plan: unanswered, upstreams: observe(foreign) });
        expect(plan).toBe(unanswered);
    });

    it("does not change a plan that is based on a newer configuration", () => {
        const plan = { ...livePlan(), revision: 2 as Revision };
        expect(planPlacement({ ...baseInput, plan, upstreams: [] }).plan).toBe(plan);
    });

    it("covers as many zones as possible when the maximum number of replicas prevents surviving a zone loss", () => {
        const placement = { ...baseInput.placement, maximumReplicas: 2 };
        const { plan, conditions } = planPlacement({ ...baseInput, placement });
        expect(plan.replicas).toHaveLength(2);
        expect(conditions.survivesZoneLoss).toBe(false);
        expect(new Set(plan.replicas.map(({ choice }) => choice.availabilityZone)).size).toBe(2);
    });
});
