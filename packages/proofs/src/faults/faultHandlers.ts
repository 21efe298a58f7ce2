import type { ManagedProcess } from "@ibislanding/runner";
import { setTimeout as pause } from "node:timers/promises";
import type { FaultContext } from "./faultContext";
import type { FaultKind } from "./faultKind";
import { reclaimEngines } from "./reclaimEngines";

const FREEZE_MS = 3_000;
const LOST_ANSWERS_MS = 4_000;
const NOTICE_MS = 5_000;
const MINIMUM_ENTRIES = 2;

type FaultHandler = (context: FaultContext) => Promise<void>;

const pick = ({ random }: FaultContext, processes: readonly ManagedProcess[]): ManagedProcess | undefined =>
    processes[random.nextInt(processes.length)];

const enginesOf = ({ system }: FaultContext): readonly ManagedProcess[] =>
    system.ofProgram("ibis-standin").filter(({ name }) => name.startsWith("engine-"));

const standInUrl = ({ system }: FaultContext, prefix: string): string =>
    system.ofProgram("ibis-standin").find(({ name }) => name.startsWith(prefix))?.urls["standIn"] ?? "";

const recordFault = ({ history }: FaultContext, kind: FaultKind, target: string): void =>
    history.write("faults", { type: "fault", kind, target });

const endEntry = (kind: FaultKind, signal: NodeJS.Signals): FaultHandler => async context => {
    const entries = context.system.ofProgram("ibis-entry");
    const entry = pick(context, entries);
    if (entry === undefined || entries.length <= MINIMUM_ENTRIES) {
        return;
    }
    recordFault(context, kind, entry.name);
    entry.signal(signal);
    await entry.exited;
    await context.system.addEntry();
};

const freeze = (kind: FaultKind, program: string): FaultHandler => async context => {
    const process = pick(context, context.system.ofProgram(program));
    if (process === undefined) {
        return;
    }
    recordFault(context, kind, process.name);
    process.signal("SIGSTOP");
    await pause(FREEZE_MS);
    process.signal("SIGCONT");
};

const setStandInFaults =
    (kind: FaultKind, prefix: string, faults: unknown, durationMs: number): FaultHandler => async context => {
        const url = standInUrl(context, prefix);
        recordFault(context, kind, prefix);
        await context.sendJson(`${url}/faults`, faults);
        await pause(durationMs);
        await context.sendJson(`${url}/faults`, {});
    };

const reclaimChosen = (
    kind: FaultKind,
    choose: (context: FaultContext, engines: readonly ManagedProcess[]) => readonly ManagedProcess[],
): FaultHandler =>
async context => {
    const engines = choose(context, enginesOf(context));
    recordFault(context, kind, engines.map(({ name }) => name).join(" "));
    await reclaimEngines(context, engines, NOTICE_MS);
};

/** Handlers by kind of fault; each injects the fault and, where it is temporary, reverts it. */
export const faultHandlers: Readonly<Record<FaultKind, FaultHandler>> = {
    "kill-entry": endEntry("kill-entry", "SIGKILL"),
    "stop-entry": endEntry("stop-entry", "SIGTERM"),
    "freeze-entry": freeze("freeze-entry", "ibis-entry"),
    "freeze-control": freeze("freeze-control", "ibis-control"),
    "kill-control": async context => {
        const control = pick(context, context.system.ofProgram("ibis-control"));
        if (control !== undefined && context.system.ofProgram("ibis-control").length > 1) {
            recordFault(context, "kill-control", control.name);
            control.signal("SIGKILL");
        }
    },
    "kill-engine": async context => {
        const engine = pick(context, enginesOf(context));
        if (engine !== undefined) {
            recordFault(context, "kill-engine", engine.name);
            engine.signal("SIGKILL");
            await context.system.addEngine(engine.availabilityZone);
        }
    },
    "reclaim-engine": reclaimChosen("reclaim-engine", (context, engines) => {
        const engine = pick(context, engines);
        return engine === undefined ? [] : [engine];
    }),
    "reclaim-zone": reclaimChosen("reclaim-zone", (context, engines) => {
        const zone = pick(context, engines)?.availabilityZone;
        return engines.filter(({ availabilityZone }) => availabilityZone === zone);
    }),
    "silence-engine": async context => {
        const engine = pick(context, enginesOf(context));
        if (engine !== undefined) {
            recordFault(context, "silence-engine", engine.name);
            await context.sendJson(`${engine.urls["standIn"]}/silence`, {});
        }
    },
    "key-value-outage": context =>
        setStandInFaults("key-value-outage", "key-value", { mode: "refuse" }, context.outageMs)(context),
    "key-value-lost-answers": setStandInFaults(
        "key-value-lost-answers",
        "key-value",
        { loseAnswers: 5 },
        LOST_ANSWERS_MS,
    ),
    "service-lost-answers": async context => {
        const prefix = context.system.deployment.plainService;
        await setStandInFaults("service-lost-answers", prefix, { loseAnswers: 1 }, 1_000)(context);
    },
};
