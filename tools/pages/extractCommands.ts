const SHELL_BLOCK = /^```sh\n([\s\S]*?)^```$/gm;

/** Skipped commands: this program only runs after installing and building, so it doesn't repeat them. */
const SKIPPED = /^npm (ci|run build)$/;

/** Extracts the shell commands of a page, in order, as one script. */
export default function extractCommands(page: string): string {
  const blocks = [...page.matchAll(SHELL_BLOCK)].map((match) => match[1]!);
  return blocks
    .flatMap((block) => block.split('\n'))
    .filter((line) => !SKIPPED.test(line))
    .join('\n');
}
