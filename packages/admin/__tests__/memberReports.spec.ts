import { type AvailabilityZone, createFakeClock, type HostId, type Region, type Revision } from "@ibislanding/core";
import type { Member } from "@ibislanding/membership";
import type { SystemHostRecord } from "@ibislanding/platform";
import { Ok } from "ts-results";
import { createListedMemberReports } from "../src/ports/createListedMemberReports";
import { inForceStateOf } from "../src/views/inForceStateOf";

const host = (name: string, role = "entry"): SystemHostRecord => ({
    hostId: name as HostId,
    address: `${name}:1`,
    role,
    region: "r" as Region,
    availabilityZone: "z" as AvailabilityZone,
});

const member = (name: string, revision: number, state: Member["state"] = "alive"): Member => ({
    ...host(name),
    address: `${name}:1` as Member["address"],
    incarnation: 0,
    reportVersion: 0,
    configurationRevision: revision as Revision,
    state,
});

describe("member reports", () => {
    it("include listed hosts that have not reported, until the grace period ends", async () => {
        const clock = createFakeClock();
        const members = [member("e1", 3)];
        const hosts = [host("e1"), host("e2"), host("c1", "control")];
        await using reports = createListedMemberReports({
            membership: { members: () => members },
            hostList: { listSystemHosts: async () => Ok(hosts) },
            clock,
        });
        const state = () => inForceStateOf(reports.list(), 3);
        await clock.advance(1_000);
        expect(state()).toMatchObject({ status: "False", reason: "WaitingFor e2, c1", membersExpected: 3 });
        members.push(member("e2", 2));
        expect(state()).toMatchObject({ status: "False", membersInForce: 1 });
        members.splice(1, 1, member("e2", 3));
        expect(state()).toMatchObject({ status: "False", reason: "WaitingFor c1" });
        await clock.advance(10_000);
        expect(state()).toMatchObject({ status: "True", membersExpected: 2 });
        hosts.push(host("e3"));
        await clock.advance(5_000);
        expect(state()).toMatchObject({ status: "False", reason: "WaitingFor e3" });
    });

    it("count suspect and leaving members, but not dead ones", () => {
        const states = (["suspect", "leaving", "dead"] as const).map(state =>
            inForceStateOf([member("e1", 3), member("e2", 2, state)], 3).status
        );
        expect(states).toEqual(["False", "False", "True"]);
    });
});
