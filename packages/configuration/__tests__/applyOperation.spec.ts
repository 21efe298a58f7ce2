import { applyOperation, type ConfigurationOperation, type RequestedChange } from "@ibislanding/configuration";
import { ErrorCode, type Failure, type OperationId, type Revision, type TeamName } from "@ibislanding/core";
import { type ConfigurationDocument, emptyConfiguration, parseManifest } from "@ibislanding/resources";

const context = { changedBy: "operator", nowMs: 5 };

const service = (name: string, timeoutMs = 1_000) =>
    parseManifest({ kind: "Service", name, team: "core", spec: { type: "plain", timeoutMs } }).unwrap();

const model = (name: string) => ({
    kind: "ModelVersion" as const,
    name: "m",
    team: "core" as TeamName,
    spec: { service: name } as never,
});

const operation = (id: string, changes: readonly RequestedChange[], content = id): ConfigurationOperation => ({
    operationId: id as OperationId,
    contentSha256: content,
    changes,
});

const applyService = (id: string, name: string, timeoutMs?: number, expectedVersion?: number) =>
    operation(id, [
        { action: "apply", manifest: service(name, timeoutMs), expectedVersion: expectedVersion as Revision },
    ]);

const applyAll = (operations: readonly ConfigurationOperation[]): ConfigurationDocument =>
    operations.reduce(
        (document, next) => applyOperation(document, next, context).unwrap().document,
        emptyConfiguration,
    );

const failureOf = (document: ConfigurationDocument, next: ConfigurationOperation) =>
    applyOperation(document, next, context).val as Failure;

describe("applyOperation", () => {
    it("increments the generation only when the spec changes", () => {
        const document = applyAll([applyService("1", "a"), applyService("2", "a"), applyService("3", "a", 2_000)]);
        expect(document.resources).toMatchObject([{ name: "a", generation: 2, version: 3, changedBy: "operator" }]);
        expect(document.recentChanges.map(change => change.resources[0]?.action)).toEqual([
            "created",
            "unchanged",
            "updated",
        ]);
    });

    it("returns the current version of every conflicting resource", () => {
        const document = applyAll([applyService("1", "a"), applyService("2", "a", 2_000)]);
        const failure = failureOf(document, applyService("3", "a", 3_000, 1));
        expect(failure.code).toBe(ErrorCode.VersionConflict);
        expect(failure.details).toEqual({
            currentVersion: 2,
            conflicts: [{ resource: "Service/a", expectedVersion: 1, currentVersion: 2 }],
        });
        expect(failureOf(document, applyService("4", "a", 3_000, 0)).code).toBe(ErrorCode.VersionConflict);
    });

    it("returns the earlier change for a retry and rejects different content with the same id", () => {
        const document = applyAll([applyService("1", "a"), applyService("2", "b")]);
        const retried = applyOperation(document, applyService("1", "a"), context).unwrap();
        expect(retried.document).toBe(document);
        expect(retried.change.revision).toBe(1);
        expect(failureOf(document, operation("1", [], "other")).code).toBe(ErrorCode.KeyReused);
    });

    it("rejects deletes of referenced or absent resources, and duplicate changes", () => {
        const document = applyAll([
            applyService("1", "a"),
            operation("2", [{ action: "apply", manifest: model("a") }]),
        ]);
        const remove = { action: "delete" as const, kind: "Service" as const };
        const referenced = failureOf(document, operation("3", [{ ...remove, name: "a" }]));
        expect(referenced.code).toBe(ErrorCode.InvalidResource);
        expect(referenced.details?.issues).toMatchObject([{ resource: "ModelVersion/m", field: "spec.service" }]);
        expect(failureOf(document, operation("4", [{ ...remove, name: "b" }])).code).toBe(ErrorCode.UnknownResource);
        const doubled = operation("5", [{ ...remove, name: "a" }, { ...remove, name: "a" }]);
        expect(failureOf(document, doubled).code).toBe(ErrorCode.InvalidResource);
    });

    it("keeps a bounded number of changes", () => {
        const document = applyAll(
            Array.from({ length: 300 }, (_, index) => applyService(`${index}`, "a", 1_000 + index)),
        );
        expect(document.revision).toBe(300);
        expect(document.recentChanges).toHaveLength(128);
    });
});
