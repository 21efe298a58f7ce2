import type { UpstreamId } from "@ibislanding/core";
import { createSimulation } from "./createSimulation";

const SEEDS = [1, 2, 3];
const LIMIT_MS = 30_000;
const IDLE_MS = 10_000;
/** Time within which all announcements have been sent after every process of the group started simultaneously. */
const settleTimeMs = (size: number): number => 20_000 + size * 300;

const sizes = process.argv.slice(2).map(Number);

const measure = (size: number, seed: number) => {
    const simulation = createSimulation({ seed, size, usageIntervalMs: 1_000 });
    type Node = typeof simulation.nodes[number];
    const seesAll = (viewer: Node): boolean =>
        simulation.runningNodes().every(node => simulation.stateOf(viewer, node) === "alive");
    const joinMs = simulation.advanceUntil(() => simulation.runningNodes().every(seesAll), 60_000);
    simulation.advance(settleTimeMs(size));

    const before = simulation.nodes.map(node => [node.bytesSent, node.messagesSent] as const);
    const cpuBefore = process.cpuUsage();
    simulation.advance(IDLE_MS);
    const cpu = process.cpuUsage(cpuBefore);
    const perSecond = (now: number, old = 0): number => (now - old) * 1_000 / IDLE_MS;
    const bytesPerSecond = simulation.nodes.map((node, index) => perSecond(node.bytesSent, before[index]?.[0]));
    const messages = simulation.nodes.map((node, index) => perSecond(node.messagesSent, before[index]?.[1]));
    const usageAgesMs = simulation.nodes.flatMap(node =>
        [...node.state.usages.values()].map(report => simulation.nowMs() - report.sequence)
    ).sort((left, right) => left - right);
    const usagesKnown = Math.min(...simulation.nodes.map(node => node.state.usages.size));

    const advanceUntilRemoved = (removedNodes: readonly Node[]): number | undefined =>
        simulation.advanceUntil(
            () =>
                simulation.runningNodes().every(viewer =>
                    removedNodes.every(node => ["dead", undefined].includes(simulation.stateOf(viewer, node)))
                ),
            LIMIT_MS,
        );
    const failNodes = (failedNodes: readonly Node[], condition: "killed" | "silent"): number | undefined => {
        failedNodes.forEach(node => {
            node.condition = condition;
        });
        return advanceUntilRemoved(failedNodes);
    };
    const [publisher, killed, silent] = simulation.nodes as [Node, Node, Node];
    simulation.dispatch(publisher, {
        type: "noticePublished",
        notice: {
            upstreamId: "engine-1" as UpstreamId,
            kind: "leaving",
            observedAtMs: simulation.wallMs(),
            reportedBy: publisher.state.self.hostId,
        },
    });
    const noticeMs = simulation.advanceUntil(
        () => simulation.runningNodes().every(node => node.state.notices.size === 1),
        LIMIT_MS,
    );
    const killedMs = failNodes([killed], "killed");
    const silentMs = failNodes([silent], "silent");
    simulation.runningNodes().forEach(node =>
        simulation.dispatch(node, { type: "configurationAdvanced", revision: 1 as never })
    );
    const revisionMs = simulation.advanceUntil(
        () =>
            simulation.runningNodes().every(viewer =>
                simulation.runningNodes().every(node =>
                    viewer.state.members.get(node.state.self.hostId)?.configurationRevision === 1
                )
            ),
        LIMIT_MS,
    );
    const zoneMs = failNodes(simulation.runningNodes().filter(node => node.zone === "zone-b"), "silent");
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
        size,
        seed,
        joinMs,
        bytesSentPerSecond: Math.round(mean(bytesPerSecond)),
        maximumBytesSentPerSecond: Math.round(Math.max(...bytesPerSecond)),
        messagesSentPerSecond: Math.round(mean(messages) * 10) / 10,
        cpuMsPerSecond: Math.round((cpu.user + cpu.system) / IDLE_MS / size * 100) / 100,
        noticeMs,
        killedMs,
        silentMs,
        revisionMs,
        zoneMs,
        usagesKnown,
        usageAgeMedianMs: usageAgesMs[Math.floor(usageAgesMs.length / 2)],
        usageAge99Ms: usageAgesMs[Math.floor(usageAgesMs.length * 0.99)],
    };
};

sizes.forEach(size =>
    (size > 100 ? SEEDS.slice(0, 1) : SEEDS).forEach(seed =>
        process.stdout.write(`${JSON.stringify(measure(size, seed))}\n`)
    )
);
