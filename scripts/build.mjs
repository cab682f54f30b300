// Bundles the programs into dist: the daemon, the command-line tool and every tool with a main file.
import { existsSync } from 'node:fs';
import { chmod, readdir, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const programs = {
  magnoliakeeld: 'src/daemon/magnoliakeeld.ts',
  magnoliakeelctl: 'src/ctl/magnoliakeelctl.ts',
  ...(await findTools()),
};

await rm('dist', { recursive: true, force: true });
await build({
  entryPoints: programs,
  outdir: 'dist',
  bundle: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  packages: 'external',
  sourcemap: true,
  logLevel: 'warning',
});
await Promise.all(Object.keys(programs).map((name) => chmod(`dist/${name}.js`, 0o755)));

async function findTools() {
  if (!existsSync('tools')) return {};
  const folders = await readdir('tools');
  const mains = folders.map((folder) => [folder, `tools/${folder}/main.ts`]);
  return Object.fromEntries(mains.filter(([, main]) => existsSync(main)));
}
