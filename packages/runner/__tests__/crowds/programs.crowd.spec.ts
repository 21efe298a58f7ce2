// Guards against entry hosts and other programs that end, hang or exceed their memory because of clients that send more than they should,
// or that never finish what they began, at any of their listeners.
import { type CrowdKind, type CrowdTarget, startCrowd, watchOccupancy } from "@ibislanding/soak";
import { join } from "node:path";
import { applyResources, deployments, sendExampleRequests, startSystem } from "../../src";

const DIST_DIRECTORY = join(__dirname, "../../../../dist");
const CROWD_PROGRAM = join(DIST_DIRECTORY, "ibis-crowd.js");

const CROWD_MS = 4_000;

/** Memory and descriptors of a host of the small deployments. */
const MEMORY_BYTES = 350_000_000;
const MAXIMUM_DESCRIPTORS = 4_100;

const BODY_BYTES = 4_000_000;

/** Connections to each listener of each program. */
const CROWDS: readonly { readonly kind: CrowdKind; readonly connections: number; }[] = [
    { kind: "empty-lines", connections: 40 },
    { kind: "endless-header-lines", connections: 40 },
    { kind: "whole-bodies", connections: 160 },
    { kind: "bodies-in-pieces", connections: 160 },
    { kind: "large-chunks", connections: 160 },
    { kind: "small-chunks", connections: 24 },
    { kind: "endless-requests", connections: 24 },
];

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

test.each(CROWDS)(
    "all programs live on beside $connections connections of $kind at each of their listeners",
    async ({ kind, connections }) => {
        const deployment = deployments.cimenbilim;
        await using system = await startSystem({
            deployment,
            entries: 1,
            controls: 1,
            enginesPerZone: 1,
            distDirectory: DIST_DIRECTORY,
            engineArgs: [],
            serviceArgs: [],
        });
        expect(await applyResources(system, DIST_DIRECTORY)).toBe(0);
        const programs = ["ibis-entry", "ibis-admin", "ibis-control"].flatMap(name => system.ofProgram(name));
        const targets: Readonly<Record<string, CrowdTarget>> = {
            callers: {
                requestLine: "POST /v1/chat/completions HTTP/1.1",
                headers: { Host: "127.0.0.1", Authorization: `Bearer ${deployment.clientAccounts[0]?.key}` },
                bodyBytes: BODY_BYTES,
            },
            admin: {
                requestLine: "PUT /v1/resources/Service/crowd HTTP/1.1",
                headers: { Host: "127.0.0.1", Authorization: `Bearer ${system.operatorToken}` },
                bodyBytes: BODY_BYTES / 4,
            },
        };
        const otherTarget = { requestLine: "POST / HTTP/1.1", headers: { Host: "127.0.0.1" }, bodyBytes: BODY_BYTES };
        const watched = programs.map(({ pid }) => watchOccupancy(pid));
        const crowds = programs.flatMap(({ urls }) =>
            Object.entries(urls).map(([listener, url]) =>
                startCrowd({
                    port: Number(/:(\d+)$/.exec(url)?.[1]),
                    kind,
                    connections,
                    target: targets[listener] ?? otherTarget,
                }, CROWD_PROGRAM)
            )
        );
        await wait(CROWD_MS);
        crowds.forEach(crowd => crowd[Symbol.dispose]());
        const answers = await sendExampleRequests(system);
        watched.forEach(occupancy => occupancy[Symbol.dispose]());
        expect(answers.filter(({ correct }) => !correct)).toEqual([]);
        expect(programs.filter(({ hasExited }) => hasExited())).toEqual([]);
        expect(Math.max(...watched.map(({ memoryBytes }) => memoryBytes()))).toBeLessThanOrEqual(MEMORY_BYTES);
        expect(Math.max(...watched.map(({ descriptors }) => descriptors()))).toBeLessThanOrEqual(MAXIMUM_DESCRIPTORS);
    },
    120_000,
);
