import type { HostId } from "@ibislanding/core";
import type { HostReport } from "../../src/hostReport";

/** Creates the reports of a host, from a state that the test sets. */
export const createReportSource = (name: string, wallMs: () => number) => {
    const state = { admitted: 0, began: 0, running: 0, window: 100, versions: [] as HostReport["versions"] };
    let sequence = 0;
    const createReport = (): HostReport => ({
        hostId: `${name}.1` as HostId,
        hostName: name,
        address: name,
        collectorId: "",
        sequence: ++sequence,
        wallMs: wallMs(),
        positions: { upstreams: [1, 5] },
        isInContact: true,
        hostCount: 1,
        oldestMs: 0,
        loads: state.running === 0 ? [] : [["engine-1", state.running, state.running * 1_000]],
        accounts: [["acme", state.admitted, 0]],
        levels: [["acme", 50]],
        began: [[state.window, "acme", state.began]],
        work: [["service", 0.25]],
        leaving: name.endsWith("3") ? [["engine-9", 7]] : [],
        usageRecords: [],
        limits: [],
        versions: state.versions,
        quarantine: { suspects: [], cleared: [], quarantined: [] },
    });
    return { name, hostId: `${name}.1` as HostId, state, createReport };
};
