import { ErrorCode, type UpstreamId } from "@ibislanding/core";
import type { StartHostRequest } from "@ibislanding/platform";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import type { StandInServer } from "../server/standInServer";
import type { CloudStandInOptions } from "./cloudStandInOptions";
import { createCloudHosts } from "./createCloudHosts";
import { createHostListClient } from "./createHostListClient";
import { createNoticeLog } from "./createNoticeLog";
import type { StartRefusal } from "./startRefusal";

const REFUSED_STATUS = 409;

interface ReclaimRequest {
    readonly upstreamId?: string;
    readonly availabilityZone?: string;
    readonly noticeMs: number;
}

const matches = (rule: StartRefusal, request: StartHostRequest): boolean =>
    (rule.availabilityZone ?? request.availabilityZone) === request.availabilityZone
    && (rule.machineClass ?? request.machineClass) === request.machineClass
    && (rule.reclaimable ?? request.reclaimable) === request.reclaimable;

/**
 * Starts a stand-in for the cloud API. Additional routes control it: `POST /reclaims` reclaims hosts, `POST /refusals`
 * sets the rules by which starts are refused, and `GET /hosts` lists all hosts with the operations that started them.
 */
export const createCloudStandIn = async (port: number, options: CloudStandInOptions): Promise<StandInServer> => {
    const client = createHostListClient(options.hostListUrl);
    const hosts = createCloudHosts(options, client);
    const notices = createNoticeLog();
    const fencingNumbers = new Map<string, number>();
    let refusals: readonly StartRefusal[] = [];

    /** Records the fencing number of a service's request; returns false when it is stale and fencing is checked. */
    const acceptFencingNumber = (service: string, fencingNumber: number): boolean => {
        const newest = fencingNumbers.get(service) ?? 0;
        fencingNumbers.set(service, Math.max(newest, fencingNumber));
        return !options.checksFencing || fencingNumber >= newest;
    };

    const routes: readonly Route[] = [
        {
            method: "GET",
            pattern: /^\/v1\/offers$/,
            handle: ({ response }) => answerJson(response, 200, options.offers),
        },
        {
            method: "PUT",
            pattern: /^\/v1\/hosts\/([^/]+)$/,
            handle: ({ response, body }) => {
                const request = JSON.parse(body) as StartHostRequest;
                const refusal = refusals.find(rule => matches(rule, request));
                if (!acceptFencingNumber(request.service, request.fencingNumber)) {
                    answerJson(response, REFUSED_STATUS, { code: ErrorCode.StaleFencingNumber });
                }
                else if (refusal !== undefined && !hosts.hasStarted(request.operationId)) {
                    const { retryAfterMs } = refusal;
                    answerJson(response, REFUSED_STATUS, { code: ErrorCode.PlatformRefused, retryAfterMs });
                }
                else {
                    answerJson(response, 200, { upstreamId: hosts.start(request) });
                }
            },
        },
        {
            method: "DELETE",
            pattern: /^\/v1\/hosts\/([^/]+)$/,
            handle: async ({ response, url, groups: [id = ""] }) => {
                const fencingNumber = Number(url.searchParams.get("fencingNumber") ?? 0);
                const host = await hosts.find(id);
                if (host !== undefined && !acceptFencingNumber(host.record.service, fencingNumber)) {
                    answerJson(response, REFUSED_STATUS, { code: ErrorCode.StaleFencingNumber });
                    return;
                }
                await hosts.stop(id as UpstreamId);
                answerJson(response, 200, {});
            },
        },
        {
            method: "GET",
            pattern: /^\/v1\/reclaim-notices$/,
            handle: async ({ response, url }) => {
                const after = Number(url.searchParams.get("after") ?? 0);
                const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
                answerJson(response, 200, await notices.waitAfter(after, waitMs));
            },
        },
        {
            method: "POST",
            pattern: /^\/reclaims$/,
            handle: async ({ response, body }) => {
                const { noticeMs, ...filter } = JSON.parse(body) as ReclaimRequest;
                const deadlineMs = Date.now() + noticeMs;
                const reclaimed = await hosts.listLive(filter);
                reclaimed.forEach(({ record }) => notices.add(record.upstreamId, deadlineMs));
                await Promise.all(reclaimed.map(({ record }) => hosts.reclaim(record.upstreamId, deadlineMs)));
                answerJson(response, 200, {
                    upstreamIds: reclaimed.map(({ record }) => record.upstreamId),
                    deadlineMs,
                });
            },
        },
        {
            method: "POST",
            pattern: /^\/refusals$/,
            handle: ({ response, body }) => {
                refusals = (JSON.parse(body) as { rules: readonly StartRefusal[]; }).rules;
                answerJson(response, 200, {});
            },
        },
        {
            method: "GET",
            pattern: /^\/hosts$/,
            handle: ({ response }) =>
                answerJson(response, 200, {
                    hosts: hosts.list().map(({ request, record, phase }) => ({
                        upstreamId: record.upstreamId,
                        operationId: request?.operationId,
                        url: record.url,
                        service: record.service,
                        availabilityZone: record.availabilityZone,
                        machineClass: record.machineClass,
                        reclaimable: record.reclaimable,
                        phase,
                    })),
                }),
        },
    ];
    const server = await createStandInServer(port, routes);
    return {
        ...server,
        [Symbol.asyncDispose]: async () => {
            await server[Symbol.asyncDispose]();
            await hosts[Symbol.asyncDispose]();
            await client[Symbol.asyncDispose]();
        },
    };
};
