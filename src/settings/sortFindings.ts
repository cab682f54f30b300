import type Finding from '../core/Finding';

/** Sorts findings by their position in the file. */
export default function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  return [...findings].sort((a, b) => a.line - b.line || a.column - b.column);
}
