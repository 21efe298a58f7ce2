import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/node_modules/**", "dist/**", "target/**", "packages/protocol/src/generated/**", "reports/**"] },
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc },
        rules: {
            curly: "error",
            eqeqeq: "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    require: { ArrowFunctionExpression: true },
                    contexts: [
                        "TSInterfaceDeclaration",
                        "TSTypeAliasDeclaration",
                        "TSEnumDeclaration",
                        "ExportNamedDeclaration > VariableDeclaration",
                    ],
                },
            ],
        },
    },
    {
        files: ["packages/*/__tests__/**/*.ts", "platform/__tests__/**/*.ts"],
        rules: { "jsdoc/require-jsdoc": "off", "@typescript-eslint/no-unsafe-assignment": "off" },
    },
);
