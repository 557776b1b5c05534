/**
 * A lint rule: a module opens with a doc comment that says what it owns, who calls it and
 * what it promises. The comment stands before the first statement (the imports), and is
 * told apart from that of the first declaration by the blank line or import after it.
 */

/** The rule, as eslint takes it. */
export const moduleComment = {
  meta: {
    type: 'suggestion',
    docs: { description: 'a module opens with a doc comment' },
    messages: {
      missing: 'A module opens with a doc comment of its own: what it owns, who calls it, what it promises.',
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
