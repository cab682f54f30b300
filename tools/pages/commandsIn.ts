const BLOCK = /^```sh\n([\s\S]*?)^```$/gm;

/** Installing and building come before this program itself, so it passes over them. */
const PASSED_OVER = /^npm (ci|run build)$/;

/** The commands of a page as one script for a shell, in their order. */
export default function commandsIn(page: string): string {
  const blocks = [...page.matchAll(BLOCK)].map((match) => match[1]!);
  return blocks
    .flatMap((block) => block.split('\n'))
    .filter((line) => !PASSED_OVER.test(line))
    .join('\n');
}
