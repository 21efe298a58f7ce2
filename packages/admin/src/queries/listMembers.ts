import { Ok } from "ts-results";
import type { AdminRoute } from "../http/adminRoute";

/** Lists the processes of the system with the configuration revision each one reports. */
export const listMembers: AdminRoute = {
    method: "GET",
    path: "/v1/members",
    handle: async (_request, services) => Ok({ type: "json", status: 200, body: { members: services.members.list() } }),
};
