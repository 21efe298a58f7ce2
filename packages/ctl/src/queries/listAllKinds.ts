import type { Failure } from "@ibislanding/core";
import { resourceKinds } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { AdminClient } from "../client/adminClient";
import type { ListResponse } from "./listResponse";

/** Lists the resources of all kinds; the revision is the lowest of the lists, which are read separately. */
export const listAllKinds = async (client: AdminClient): Promise<Result<ListResponse, Failure>> => {
    const results = await Promise.all(
        resourceKinds.map(kind => client.call<ListResponse>({ method: "GET", path: `/v1/resources/${kind}` })),
    );
    const failed = results.find(result => result.err);
    if (failed?.err) {
        return failed;
    }
    const lists = results.flatMap(result => (result.ok ? [result.val] : []));
    return Ok({
        revision: Math.min(...lists.map(({ revision }) => revision)),
        resources: lists.flatMap(({ resources }) => resources),
    });
};
