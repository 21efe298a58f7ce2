import { adminSettingsSchema } from "@ibislanding/admin";
import { controlSettingsSchema } from "@ibislanding/control";
import { entrySettingsSchema } from "@ibislanding/entry";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";

interface SchemaNode {
    readonly properties?: Readonly<Record<string, SchemaNode>>;
    readonly items?: SchemaNode;
    readonly required?: readonly string[];
    readonly default?: unknown;
}

const isListener = ({ properties }: SchemaNode): boolean =>
    ["address", "port", "tls"].every(field => properties?.[field] !== undefined);

const defaultOf = (node: SchemaNode, isRequired: boolean): string => {
    if (node.default !== undefined) {
        return `\`${JSON.stringify(node.default)}\``;
    }
    return isRequired ? "required" : "none";
};

/** Lists the fields of a schema as `path | default`. */
const listFields = (node: SchemaNode, prefix = ""): readonly string[] =>
    Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
        const path = `${prefix}${name}`;
        const row = `\`${path}\` | ${defaultOf(child, node.required?.includes(name) === true)}`;
        if (isListener(child)) {
            return [row];
        }
        return child.properties === undefined
            ? [row, ...listFields(child.items ?? {}, `${path}[].`)]
            : listFields(child, `${path}.`);
    });

const text = readFileSync(join(__dirname, "../../../docs/settings.md"), "utf8");

const listRows = (heading: string): readonly string[] =>
    (text.split(`## ${heading}\n`)[1]?.split("\n## ")[0] ?? "")
        .split("\n")
        .filter(line => line.startsWith("| `"))
        .map(line => line.split(" | ").slice(0, 2).join(" | ").slice(2));

describe("docs/settings.md", () => {
    it.each([
        ["ibis-admin", adminSettingsSchema],
        ["ibis-control", controlSettingsSchema],
        ["ibis-entry", entrySettingsSchema],
    ])("lists the fields and defaults of %s", (program, schema: z.ZodType) => {
        const fields = listFields(z.toJSONSchema(schema, { io: "input" }) as SchemaNode);
        expect([...listRows("All programs"), ...listRows(program)].sort()).toEqual([...fields].sort());
    });
});
