import { startTestAdmin } from "./startTestAdmin";

const service = (name: string, team = "billing", spec: object = {}) => ({
    kind: "Service",
    name,
    team,
    spec: { type: "plain", ...spec },
});

const apply = (...manifests: object[]) => ({ changes: manifests.map(manifest => ({ action: "apply", manifest })) });

const PATH = "/v1/resources/Service/payments";

describe("administration API", () => {
    it("applies, lists and deletes resources with versions", async () => {
        await using admin = await startTestAdmin();
        const created = await admin.call("PUT", PATH, service("payments"), { "if-none-match": "*" });
        expect(created).toMatchObject({ status: 200, body: { revision: 1, changedBy: "root" } });
        const read = await admin.call("GET", PATH);
        expect(read.headers.get("etag")).toBe("\"1\"");
        expect(read.body).toMatchObject({ team: "billing", generation: 1, version: 1, spec: { repeatable: false } });
        const changed = service("payments", "billing", { timeoutMs: 5 });
        expect(await admin.call("PUT", PATH, changed, { "if-match": "\"1\"" })).toMatchObject({ status: 200 });
        expect(await admin.call("PUT", PATH, changed, { "if-match": "\"1\"" })).toMatchObject({
            status: 409,
            body: { code: "version_conflict", details: { currentVersion: 2 } },
        });
        expect(await admin.call("PUT", PATH, changed, { "if-none-match": "*" })).toMatchObject({ status: 409 });
        expect((await admin.call("GET", "/v1/resources/Service")).body.resources).toHaveLength(1);
        expect(await admin.call("DELETE", PATH, undefined, { "if-match": "\"1\"" })).toMatchObject({ status: 409 });
        expect(await admin.call("DELETE", PATH, undefined, { "if-match": "\"2\"" })).toMatchObject({ status: 200 });
        expect(await admin.call("GET", PATH)).toMatchObject({ status: 404, body: { code: "unknown_resource" } });
        const audit = await admin.call("GET", "/v1/audit");
        expect(audit.body.changes.map(({ revision }) => revision)).toEqual([3, 2, 1]);
    });

    it("applies an operation once, even if it is sent again or its response was lost", async () => {
        await using admin = await startTestAdmin();
        const headers = { "operation-id": "op-1" };
        admin.store.dropResponses(1);
        expect(await admin.call("POST", "/v1/operations", apply(service("a"), service("b")), headers)).toMatchObject({
            status: 200,
            body: { operationId: "op-1", revision: 1, resources: [{ name: "a" }, { name: "b" }] },
        });
        expect(await admin.call("POST", "/v1/operations", apply(service("a"), service("b")), headers)).toMatchObject({
            status: 200,
            body: { revision: 1 },
        });
        expect(await admin.call("POST", "/v1/operations", apply(service("c")), headers)).toMatchObject({
            status: 422,
            body: { code: "key_reused" },
        });
        expect(await admin.call("GET", "/v1/operations/op-1")).toMatchObject({ status: 200, body: { revision: 1 } });
        expect(await admin.call("GET", "/v1/operations/op-2")).toMatchObject({ status: 404 });
    });

    it("reports field, value and reason of all validation issues, and changes nothing", async () => {
        await using admin = await startTestAdmin();
        const faulty = apply(service("a", "billing", { timeoutMs: -1 }), service("b", "billing", { colour: 1 }));
        const refused = await admin.call("POST", "/v1/operations", faulty);
        expect(refused).toMatchObject({ status: 422, body: { code: "invalid_resource" } });
        expect(refused.body.details.issues).toMatchObject([
            { resource: "Service/a", field: "spec.timeoutMs", value: "-1", reason: expect.any(String) },
            { resource: "Service/b" },
        ]);
        const dangling = { kind: "Placement", name: "p", team: "billing", spec: { service: "none" } };
        expect((await admin.call("POST", "/v1/operations", apply(dangling))).status).toBe(422);
        const dryRun = await admin.call("POST", "/v1/operations?dryRun=true", apply(service("a")));
        expect(dryRun).toMatchObject({ status: 200, body: { dryRun: true } });
        expect((await admin.call("POST", "/v1/operations?dryRun=maybe", apply(service("a")))).status).toBe(400);
        expect((await admin.call("GET", "/v1/resources/Service")).body).toMatchObject({ revision: 0, resources: [] });
    });

    it("restricts a token to its teams", async () => {
        await using admin = await startTestAdmin();
        const asBilling = { authorization: "Bearer billing-token" };
        const asAssistant = { authorization: "Bearer assistant-token" };
        expect((await admin.call("PUT", PATH, service("payments"), asBilling)).status).toBe(200);
        const refusals = await Promise.all([
            admin.call("PUT", PATH, service("payments", "assistant"), asAssistant),
            admin.call("PUT", PATH, service("payments", "assistant"), asBilling),
            admin.call("GET", PATH, undefined, asAssistant),
            admin.call("DELETE", PATH, undefined, asAssistant),
        ]);
        expect(refusals.map(({ status, body }) => [status, body.code])).toEqual(Array(4).fill([403, "forbidden"]));
        expect((await admin.call("GET", "/v1/resources/Service", undefined, asAssistant)).body.resources).toEqual([]);
        expect((await admin.call("GET", PATH, undefined, { authorization: "Bearer nobody" })).status).toBe(401);
        expect((await admin.call("GET", PATH, undefined, { authorization: "" })).status).toBe(401);
    });

    it("reports a revision as in force only if all members report it", async () => {
        const entry = { hostId: "e1", role: "entry", availabilityZone: "z", configurationRevision: 0, state: "alive" };
        await using admin = await startTestAdmin();
        const conditions = async () =>
            (await admin.call("GET", PATH)).body.status.conditions.map(({ status }) => status);
        await admin.call("PUT", PATH, service("payments"));
        expect(await conditions()).toEqual(["True", "Unknown", "Unknown"]);
        admin.reports.push(entry, { ...entry, hostId: "e2", configurationRevision: 1 });
        expect(await conditions()).toEqual(["True", "False", "Unknown"]);
        admin.reports.splice(0, 1, { ...entry, configurationRevision: 1 });
        expect(await conditions()).toEqual(["True", "True", "Unknown"]);
        const record = {
            observedGeneration: 1,
            conditions: [{ type: "Ready", status: "True", reason: "Placed", changedAtMs: 1 }],
            zones: [{ availabilityZone: "z", ready: 2 }],
        };
        const key = "status/Service/payments";
        const value = JSON.stringify(record);
        await admin.store.compareAndSwap({ key, expectedVersion: 0, value }, { cause: "status-write" });
        expect((await admin.call("GET", "/v1/status/Service/payments")).body).toMatchObject(
            record.zones[0]
                ? {
                    observedGeneration: 1,
                    zones: record.zones,
                    conditions: [{ type: "Accepted" }, { type: "InForce" }, { type: "Ready", status: "True" }],
                }
                : {},
        );
    });

    it("returns the accepted configuration during an outage and rejects changes", async () => {
        await using admin = await startTestAdmin();
        await admin.call("PUT", PATH, service("payments"));
        admin.store.setUnavailable(true);
        const read = await admin.call("GET", PATH);
        expect(read).toMatchObject({ status: 200, body: { version: 1 } });
        expect(read.headers.get("x-configuration-stale")).toBe("true");
        const refused = await admin.send("PUT", PATH, service("payments", "billing", { timeoutMs: 7 }));
        expect([refused.status, refused.headers.get("retry-after")]).toEqual([503, "1"]);
    });

    it("streams changes after a revision and limits the number of watches", async () => {
        await using admin = await startTestAdmin();
        await admin.call("PUT", PATH, service("payments"));
        const watch = await admin.send("GET", "/v1/watch?afterRevision=0");
        const reader = watch.body!.pipeThrough(new TextDecoderStream()).getReader();
        const readUntil = async (text: string, readsLeft = 100, received = ""): Promise<string> =>
            received.includes(text) || readsLeft === 0
                ? received
                : readUntil(text, readsLeft - 1, received + ((await reader.read()).value ?? ""));
        expect(await readUntil("payments")).toContain("event: change\nid: 1\ndata: {\"revision\":1,\"snapshot\":false");
        await admin.call("DELETE", PATH);
        const deleted = "\"deleted\":[{\"kind\":\"Service\",\"name\":\"payments\"}]";
        expect(await readUntil(deleted)).toContain(deleted);
        const second = await admin.send("GET", "/v1/watch");
        expect((await admin.call("GET", "/v1/watch")).status).toBe(503);
        await Promise.all([reader.cancel(), second.body!.cancel()]);
    });
});
