import tseslint from "typescript-eslint"

const restrict = (files, ...folders) => ({
  files,
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: folders.map(folder => ({
          regex: `^\\.\\./(.*/)?${folder}/`,
          message: `This folder may not import ${folder}.`,
        })),
      },
    ],
  },
})

export default tseslint.config(
  {ignores: ["build/**", "target/**", "node_modules/**", "src/peer/generated/**", "eslint.config.js"]},
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname}},
    rules: {
      "@typescript-eslint/restrict-template-expressions": ["error", {allowNumber: true}],
      "@typescript-eslint/no-confusing-void-expression": ["error", {ignoreArrowShorthand: true}],
      "@typescript-eslint/consistent-type-imports": "error",
    },
  },
  restrict(
    ["src/core/**"],
    "placement",
    "routing",
    "ownership",
    "jobs",
    "document",
    "platform",
    "peer",
    "controllers",
    "filters",
    "cli",
    "settings",
    "standins",
    "entry",
  ),
  restrict(
    ["src/placement/**", "src/routing/**", "src/ownership/**", "src/jobs/**", "src/membership/**"],
    "platform",
    "peer",
    "controllers",
    "filters",
    "cli",
    "settings",
    "standins",
    "entry",
  ),
  restrict(
    ["src/document/**", "src/settings/**"],
    "platform",
    "peer",
    "controllers",
    "filters",
    "cli",
    "standins",
    "entry",
  ),
  restrict(["src/platform/**"], "peer", "controllers", "filters", "cli", "standins", "entry"),
  restrict(["src/peer/**"], "controllers", "filters", "cli", "standins", "entry"),
  restrict(["src/controllers/**"], "filters", "cli", "standins", "entry"),
  restrict(["src/filters/**"], "cli", "standins", "entry"),
  restrict(["src/**"], "standins", "test", "bench"),
)
