/**
 * A lint rule: a module starts with a doc comment that says what it owns, who calls it and what it guarantees. The
 * comment precedes the first statement. An import or a blank line after it distinguishes it from the doc comment of the
 * first declaration.
 */

/** The rule in the format of eslint. */
export const moduleComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'a module starts with a doc comment' },
    messages: {
      missing: 'A module starts with a doc comment of its own: what it owns, who calls it and what it guarantees.',
    },
    schema: [],
  },
  create(context) {
    function isModuleComment(comment, first) {
      if (comment.type !== 'Block' || !comment.value.startsWith('*')) return false;
      return (
        first === undefined || first.type === 'ImportDeclaration' || first.loc.start.line > comment.loc.end.line + 1
      );
    }
    function check(program) {
      const first = program.body[0];
      const opening = context.sourceCode.getAllComments().find((comment) => comment.type !== 'Shebang');
      const isBeforeAll = opening !== undefined && (first === undefined || opening.range[1] <= first.range[0]);
      if (!isBeforeAll || !isModuleComment(opening, first))
        context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
    }
    return { Program: check };
  },
};
