import type { LinkMode } from "../links/linkMode";
import type { FaultContext } from "./faultContext";
import type { FaultKind } from "./faultKind";
import type { HostCut } from "./hostCut";
import type { SoakHost } from "./soakHost";
import type { SoakUpstream } from "./soakUpstream";
import type { StoreFault } from "./storeFault";
import type { UpstreamFault } from "./upstreamFault";

type Handler = (context: FaultContext) => Promise<void>;

/** Time from the stop signal until a host that is still running is killed. */
const GRACE_MS = 8_000;

const pick = <T>(items: readonly T[], target: number): T | undefined => items[Math.floor(target * items.length)];

const onHost = (act: (host: SoakHost, context: FaultContext) => Promise<void>): Handler => async context => {
    const host = pick(context.world.hosts, context.step.target);
    if (host === undefined) {
        return;
    }
    const endDisturbance = context.startDisturbance(host.process.hostName);
    await act(host, context);
    endDisturbance();
};

const onUpstream =
    (act: (upstream: SoakUpstream, context: FaultContext) => Promise<void>): Handler => async context => {
        const upstream = pick(context.world.upstreams, context.step.target);
        if (upstream !== undefined) {
            await act(upstream, context);
        }
    };

const restart = async ({ process }: SoakHost, signal: NodeJS.Signals, { sleep, step }: FaultContext): Promise<void> => {
    // If another fault has already stopped the host, that fault's handler restarts it.
    if (!process.isRunning()) {
        return;
    }
    const deadline = setTimeout(() => process.signal("SIGKILL"), GRACE_MS);
    process.signal("SIGCONT");
    process.signal(signal);
    await process.ended();
    clearTimeout(deadline);
    await sleep(step.forMs);
    if (!process.isRunning()) {
        process.start();
    }
};

const setLink = (mode: LinkMode, linkOf: (host: SoakHost) => SoakHost["store"]): Handler =>
    onHost(async (host, { sleep, step }) => {
        linkOf(host).setMode(mode);
        await sleep(step.forMs);
        linkOf(host).setMode("pass");
    });

const setStore = (fault: StoreFault): Handler => async ({ world, sleep, step, startDisturbance }) => {
    const endDisturbance = startDisturbance(undefined);
    world.store.setFault(fault);
    await sleep(step.forMs);
    world.store.setFault("none");
    endDisturbance();
};

const setUpstream = (fault: UpstreamFault): Handler =>
    onUpstream(async (upstream, { sleep, step }) => {
        upstream.setFault(fault);
        await sleep(step.forMs);
        upstream.setFault("none");
    });

const HOST_CUTS: readonly HostCut[] = ["live-on", "silent", "reset"];

/** Minimum time of a cut: the time of contact, and some seconds in which callers are counted. */
const CUT_MS = 9_000;

/** Part of the hosts that lose links at once. */
const CUT_SHARE = 0.5;

/** Cuts hosts off from some of the upstreams at the same time. */
const cutHosts =
    (select: (upstreams: readonly SoakUpstream[], target: number) => readonly SoakUpstream[]): Handler =>
    async ({ world: { hosts, upstreams, records }, step, sleep }) => {
        const count = Math.max(1, Math.floor(hosts.length * CUT_SHARE));
        const first = Math.floor(step.target * hosts.length);
        const indexes = Array.from({ length: count }, (_, index) => (first + index) % hosts.length);
        const kind = HOST_CUTS[Math.floor(step.forMs) % HOST_CUTS.length] ?? "silent";
        const cut = {
            hostNames: new Set(indexes.flatMap(index => hosts[index]?.process.hostName ?? [])),
            fromMs: performance.now(),
            untilMs: Infinity,
        };
        records.cuts.push(cut);
        const ends = select(upstreams, step.target).flatMap(upstream =>
            indexes.map(index => upstream.cutOff(index, kind))
        );
        await sleep(CUT_MS + step.forMs);
        ends.forEach(end => end());
        cut.untilMs = performance.now();
    };

const ofOneService = (upstreams: readonly SoakUpstream[], target: number): readonly SoakUpstream[] => {
    const services = [...new Set(upstreams.map(({ service }) => service))];
    return upstreams.filter(({ service }) => service === pick(services, target));
};

/** For faults that affect the connections of every host: none counts as connected while the fault lasts. */
const onAllHosts = (act: (context: FaultContext) => Promise<void>): Handler => async context => {
    const endDisturbance = context.startDisturbance(undefined);
    await act(context);
    endDisturbance();
};

/** Time for which the store is away while it is restored, and until what was lost is written again. */
const RESTORATION_MS = 700;
const REWRITE_DELAY_MS = 800;

/** Limit that an upstream states, and the minimum time for which it does: several windows of the check. */
const STATED_LIMIT_PER_S = 1;
const LIMIT_MS = 12_000;

/** Rejections a second above which brittle upstreams crash, and the minimum time for which they are brittle. */
const BRITTLE_REJECTIONS_PER_S = 3;
const BRITTLE_MS = 8_000;

/** Time for which the store is silent, and until hosts count as in contact with it again. */
const SILENCE_MS = 500;
const CONTACT_MS = 4_100;

const restoreStore: Handler = async ({ world, sleep, step, startDisturbance }) => {
    const restore = world.store.takeCopy();
    await sleep(step.forMs);
    const endDisturbance = startDisturbance(undefined);
    world.store.setFault("refuses");
    await sleep(RESTORATION_MS);
    restore();
    world.store.setFault("none");
    await sleep(REWRITE_DELAY_MS);
    world.rewriteDocuments();
    endDisturbance();
};

/** Handlers by kind of fault; each injects the fault and reverts it when its duration is over. */
export const faultHandlers: Readonly<Record<FaultKind, Handler>> = {
    "stop-host": onHost((host, context) => restart(host, "SIGTERM", context)),
    "kill-host": onHost((host, context) => restart(host, "SIGKILL", context)),
    "kill-all-hosts": onAllHosts(async context => {
        await Promise.all(context.world.hosts.map(host => restart(host, "SIGKILL", context)));
    }),
    "pause-host": onHost(async ({ process }, { sleep, step }) => {
        process.signal("SIGSTOP");
        await sleep(step.forMs);
        process.signal("SIGCONT");
    }),
    "reload-host": onHost(async ({ process }) => process.signal("SIGHUP")),
    "reset-callers": onHost(async ({ callers }) => callers.reset()),
    "delay-callers": setLink("delay", ({ callers }) => callers),
    "cut-store": setLink("silent", ({ store }) => store),
    "half-open-store": setLink("half-open", ({ store }) => store),
    "silence-store": onHost(async ({ store }) => store.silence()),
    "store-refuses": setStore("refuses"),
    "store-hangs": setStore("hangs"),
    "store-slow": setStore("slow"),
    "store-loses-answers": setStore("loses-answers"),
    "store-late-writes": setStore("late-writes"),
    "store-restored": restoreStore,
    "store-forgets": onAllHosts(async ({ world }) => world.store.compact()),
    "reset-upstreams": onAllHosts(onUpstream(async ({ link }) => link.reset())),
    "silence-upstreams": onAllHosts(onUpstream(async ({ link }) => link.silence())),
    "delay-upstreams": onAllHosts(onUpstream(async ({ link }, { sleep, step }) => {
        link.setMode("delay");
        await sleep(step.forMs);
        link.setMode("pass");
    })),
    "hosts-lose-upstreams": cutHosts(upstreams => upstreams),
    "hosts-lose-service": cutHosts(ofOneService),
    "hosts-lose-most-upstreams": cutHosts((upstreams, target) => ofOneService(upstreams, target).slice(1)),
    "upstream-leaves": onUpstream(upstream => upstream.leave()),
    "upstream-leaves-after-silence": onUpstream(async (upstream, { world: { store }, sleep, startDisturbance }) => {
        const endDisturbance = startDisturbance(undefined);
        store.setFault("falls-silent");
        await sleep(SILENCE_MS);
        store.setFault("none");
        endDisturbance();
        await sleep(CONTACT_MS);
        await upstream.leave();
    }),
    "upstream-crashes": onUpstream((upstream, { step }) => upstream.crash(step.forMs)),
    "upstream-changes-version": onUpstream(upstream => upstream.changeVersion()),
    "upstream-errors": setUpstream("errors"),
    "upstream-loses-answers": setUpstream("loses-answers"),
    "upstream-cuts-answers": setUpstream("cuts-answers"),
    "upstream-extra-answers": setUpstream("extra-answers"),
    "upstream-unframed-answers": setUpstream("unframed-answers"),
    "upstream-endless-bytes": setUpstream("endless-bytes"),
    "upstream-odd-heads": setUpstream("odd-heads"),
    "upstream-pauses": setUpstream("pauses"),
    "upstream-states-limit": onUpstream(async (upstream, { sleep, step }) => {
        const endLimit = upstream.stateLimit(STATED_LIMIT_PER_S);
        await sleep(LIMIT_MS + step.forMs);
        endLimit();
    }),
    "upstreams-brittle": async ({ world, sleep, step }) => {
        const { upstreams, records } = world;
        const period = { fromMs: performance.now(), upstreamCount: upstreams.length, untilMs: Infinity };
        records.brittlePeriods.push(period);
        const ends = upstreams.map(upstream => upstream.becomeBrittle(BRITTLE_REJECTIONS_PER_S));
        await sleep(BRITTLE_MS + step.forMs);
        ends.forEach(end => end());
        period.untilMs = performance.now();
    },
    "requests-crash-upstreams": async ({ world }) => world.sendCrashing("part"),
    "request-crashes-upstreams": async ({ world }) => world.sendCrashing("request"),
    "configuration-changes": ({ world }) => world.changeConfiguration(),
};
