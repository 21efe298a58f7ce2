import type { Failure } from "@ibislanding/core";
import { resourceKinds } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { AdminClient } from "../client/adminClient";
import type { ListAnswer } from "./listAnswer";

/** Lists the resources of all kinds; the revision is the earliest that was seen. */
export const listAllKinds = async (client: AdminClient): Promise<Result<ListAnswer, Failure>> => {
    const results = await Promise.all(
        resourceKinds.map(kind => client.call<ListAnswer>({ method: "GET", path: `/v1/resources/${kind}` })),
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
