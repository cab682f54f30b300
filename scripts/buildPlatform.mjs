// Bundles each role for the users' platform into one file under target, with all packages inside:
// loading many files costs a sidecar's slow core more than the programs themselves.
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { entry: 'platform/entry.ts', sidecar: 'platform/sidecar.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
});
