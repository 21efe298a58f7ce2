import type { ManagedProcess } from "@ibislanding/runner";
import { setTimeout as pause } from "node:timers/promises";
import type { FaultContext } from "./faultContext";

interface Statistics {
    readonly lastOfferAfterLeavingMs: number;
}

/** Announces the reclaim of engines, kills them at the deadline, and starts replacements. */
export const reclaimEngines = async (
    context: FaultContext,
    engines: readonly ManagedProcess[],
    noticeMs: number,
): Promise<void> => {
    const hostList = context.system.processes().find(({ name }) => name === "host-list")?.urls["standIn"] ?? "";
    const deadlineMs = Date.now() + noticeMs;
    await Promise.all(engines.map(async engine => {
        context.history.write("faults", { type: "fault", kind: "reclaim", target: engine.name });
        await context.sendJson(`${engine.urls["standIn"]}/leave`, {});
        await context.sendJson(`${hostList}/v1/upstreams/${engine.name}`, {
            upstreamId: engine.name,
            kind: "engine",
            service: context.system.deployment.engineService,
            url: engine.urls["standIn"],
            region: engine.region,
            availabilityZone: engine.availabilityZone,
            machineClass: context.system.deployment.engineMachineClass,
            reclaimable: true,
            phase: "leaving",
            deadlineMs,
        }, "PUT");
    }));
    await pause(noticeMs);
    await Promise.all(engines.map(async ({ name, urls }) => {
        const { lastOfferAfterLeavingMs } = await context.getJson<Statistics>(`${urls["standIn"]}/statistics`);
        const record = {
            type: "observe",
            subject: "last-offer",
            upstreamId: name,
            afterLeavingMs: lastOfferAfterLeavingMs,
        } as const;
        context.history.write("faults", record);
    }));
    engines.forEach(engine => engine.signal("SIGKILL"));
    await Promise.all(engines.map(engine => context.system.addEngine(engine.availabilityZone)));
};
