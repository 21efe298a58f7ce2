import type { Region, UpstreamId } from "@ibislanding/core";
import type { StartHostRequest, UpstreamRecord } from "@ibislanding/platform";
import type { CloudHost } from "./cloudHost";
import type { CloudHosts } from "./cloudHosts";
import type { CloudStandInOptions } from "./cloudStandInOptions";
import type { HostListClient } from "./hostListClient";

/** Creates the host registry of the cloud stand-in: hosts that it starts and hosts found in the host list. */
export const createCloudHosts = (options: CloudStandInOptions, client: HostListClient): CloudHosts => {
    const hosts = new Map<string, CloudHost>();
    const operations = new Map<string, UpstreamId>();

    const toRecord = (upstreamId: UpstreamId, request: StartHostRequest, url: string): UpstreamRecord => {
        const { service, machineClass, availabilityZone, reclaimable } = request;
        const offer = options.offers.find(one => one.availabilityZone === availabilityZone);
        return {
            upstreamId,
            kind: options.plainServices.includes(service) ? "service" : "engine",
            service,
            url,
            region: offer?.region ?? (availabilityZone as string as Region),
            availabilityZone,
            machineClass,
            reclaimable,
            phase: "live",
        };
    };

    const boot = async (upstreamId: UpstreamId, request: StartHostRequest): Promise<void> => {
        const server = await options.startUpstream(upstreamId, request);
        const record = toRecord(upstreamId, request, server.url);
        hosts.set(upstreamId, { request, record, server, phase: "live" });
        await client.put(record);
    };

    const importListedHosts = async (): Promise<void> => {
        const records = await client.list();
        records.filter(({ upstreamId, phase }) => phase === "live" && !hosts.has(upstreamId)).forEach(record => {
            hosts.set(record.upstreamId, { request: undefined, record, server: undefined, phase: "live" });
        });
    };

    const stop = async (upstreamId: UpstreamId): Promise<void> => {
        await importListedHosts();
        const host = hosts.get(upstreamId);
        if (host === undefined || host.phase === "gone") {
            return;
        }
        host.phase = "gone";
        if (host.server === undefined) {
            // The host runs in another process, which can't be stopped from here: its faults are set so that it drops
            // new connections and sends nothing on open ones.
            await client.post(`${host.record.url}/faults`, { mode: "drop" });
            await client.post(`${host.record.url}/silence`, {});
        }
        await host.server?.[Symbol.asyncDispose]();
        await client.put({ ...host.record, phase: "gone" });
    };

    const reclaim = async (upstreamId: UpstreamId, deadlineMs: number): Promise<void> => {
        const host = hosts.get(upstreamId);
        if (host === undefined || host.phase !== "live") {
            return;
        }
        host.phase = "leaving";
        setTimeout(() => void stop(upstreamId), deadlineMs - Date.now());
        await Promise.all([
            client.put({ ...host.record, phase: "leaving", deadlineMs }),
            client.post(`${host.record.url}/leave`, {}),
        ]);
    };

    return {
        start: request => {
            const known = operations.get(request.operationId);
            if (known !== undefined) {
                return known;
            }
            const upstreamId = `host-${operations.size + 1}` as UpstreamId;
            operations.set(request.operationId, upstreamId);
            setTimeout(() => void boot(upstreamId, request), options.startDelayMs);
            return upstreamId;
        },
        hasStarted: operationId => operations.has(operationId),
        stop,
        reclaim,
        find: async upstreamId => {
            await importListedHosts();
            return hosts.get(upstreamId);
        },
        listLive: async ({ upstreamId, availabilityZone }) => {
            await importListedHosts();
            return [...hosts.values()].filter(({ phase, record }) =>
                phase === "live"
                && (upstreamId === undefined || record.upstreamId === upstreamId)
                && (availabilityZone === undefined || record.availabilityZone === availabilityZone)
            );
        },
        list: () => [...hosts.values()],
        [Symbol.asyncDispose]: async () => {
            await Promise.all([...hosts.values()].map(async ({ server }) => server?.[Symbol.asyncDispose]()));
        },
    };
};
