import { checkReferences } from "@ibislanding/resources";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { readManifests } from "../src/manifests/readManifests";

const EXAMPLES = join(__dirname, "../../../examples");

describe.each(["cimenbilim", "federation"])("examples/%s", folder => {
    const manifests = readManifests([join(EXAMPLES, folder)]).unwrap();

    it("is valid and refers only to its own resources", () => {
        expect(checkReferences(manifests)).toEqual([]);
        expect(manifests.filter(({ kind }) => kind === "ClientAccount")).toHaveLength(5);
    });

    it("has a service that is neither repeatable nor deduplicating", () => {
        const plain = manifests.flatMap(({ kind, spec }) => kind === "Service" && spec.type === "plain" ? [spec] : []);
        expect(plain).toEqual([expect.objectContaining({ repeatable: false, deduplicates: false })]);
    });

    it("lists the keys of its client accounts in the README", () => {
        const readme = readFileSync(join(EXAMPLES, "README.md"), "utf8");
        const hashes = [...readme.matchAll(/`([a-z-]+-example-key)`/g)].map(([, key]) =>
            createHash("sha256").update(key ?? "").digest("hex")
        );
        const accounts = manifests.flatMap(({ kind, spec }) => (kind === "ClientAccount" ? [spec] : []));
        expect(hashes).toEqual(expect.arrayContaining(accounts.flatMap(({ keySha256 }) => keySha256)));
    });
});
